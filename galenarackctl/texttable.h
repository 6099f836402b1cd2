#pragma once

#include <iosfwd>
#include <string>
#include <vector>

namespace Galenarack {

/// Prints a heading and rows in aligned columns. Columns that are empty in all rows are omitted.
/// @param heading titles of the columns
/// @param rows cells of each row, as many as the heading has
void printTable(std::ostream &out, const std::vector<std::string> &heading, const std::vector<std::vector<std::string>> &rows);

} // namespace Galenarack
