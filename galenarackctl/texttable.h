#pragma once

#include <iosfwd>
#include <string>
#include <vector>

namespace Galenarack {

/// Prints rows under a heading in aligned columns. Columns that are empty in all rows are left out.
/// @param heading one text a column
/// @param rows each as long as the heading
void printTable(std::ostream &out, const std::vector<std::string> &heading, const std::vector<std::vector<std::string>> &rows);

} // namespace Galenarack
