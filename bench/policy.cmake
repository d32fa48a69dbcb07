# The policy bench, and its stand-ins as a library that tests/bench links too.
add_library(policy-model STATIC EngineModel.cpp FleetRun.cpp PassEngine.cpp
    PassFleetRun.cpp PassPlans.cpp Workload.cpp)
target_link_libraries(policy-model PUBLIC lavenderthread-coordination)
target_include_directories(policy-model PUBLIC ${CMAKE_CURRENT_SOURCE_DIR})
add_executable(policy-bench policy-bench.cpp)
target_link_libraries(policy-bench PRIVATE policy-model Threads::Threads)
add_executable(pass-bench pass-bench.cpp)
target_link_libraries(pass-bench PRIVATE policy-model)
add_executable(decision-bench decision-bench.cpp)
target_link_libraries(decision-bench PRIVATE lavenderthread-coordination)
