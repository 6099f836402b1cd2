#include "texttable.h"

#include <algorithm>
#include <cassert>
#include <ostream>

namespace Galenarack {

namespace {

void printRow(std::ostream &out, const std::vector<std::string> &row, const std::vector<std::size_t> &widths)
{
    std::string line;
    for (std::size_t i = 0; i < row.size(); ++i) {
        if (widths[i] > 0) {
            line += row[i] + std::string(widths[i] - row[i].size() + 2, ' ');
        }
    }
    line.erase(line.find_last_not_of(' ') + 1);
    out << line << '\n';
}

} // namespace

void printTable(std::ostream &out, const std::vector<std::string> &heading, const std::vector<std::vector<std::string>> &rows)
{
    std::vector<std::size_t> widths(heading.size(), 0);
    for (const std::vector<std::string> &row : rows) {
        assert(row.size() == heading.size());
        for (std::size_t i = 0; i < row.size(); ++i) {
            widths[i] = std::max(widths[i], row[i].size());
        }
    }
    for (std::size_t i = 0; i < heading.size(); ++i) {
        widths[i] = widths[i] == 0 ? 0 : std::max(widths[i], heading[i].size());
    }
    printRow(out, heading, widths);
    for (const std::vector<std::string> &row : rows) {
        printRow(out, row, widths);
    }
}

} // namespace Galenarack
