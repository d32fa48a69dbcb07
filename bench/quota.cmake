# What global limits and shares cost between the entries: messages, bytes, processor time, memory.
add_executable(quota-bench quota-bench.cpp)
target_link_libraries(quota-bench PRIVATE lavenderthread-protocol)
