// Named figures of one run, printed for people or as JSON.
#pragma once

#include <boost/json.hpp>

#include <cstdio>
#include <string>
#include <utility>
#include <vector>

namespace lavenderthread::bench {

class Figures
{
public:
    void add(std::string name, double value, std::string unit)
    {
        this->all.push_back({std::move(name), value, std::move(unit)});
    }

    void print(bool asJson) const
    {
        boost::json::object object;
        for (const Figure &figure : this->all) {
            if (asJson)
                object[figure.name] = {{"value", figure.value}, {"unit", figure.unit}};
            else
                std::printf("%-56s %14.2f %s\n", figure.name.c_str(), figure.value,
                            figure.unit.c_str());
        }
        if (asJson)
            std::printf("%s\n", boost::json::serialize(object).c_str());
    }

private:
    struct Figure
    {
        std::string name;
        double value = 0;
        std::string unit;
    };

    std::vector<Figure> all;
};

} // namespace lavenderthread::bench
