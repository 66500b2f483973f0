// Output of answers as JSON or as tables.
#pragma once

#include <iosfwd>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace banyanrill::cli {

enum class Format { Table, Json };

/// Writes rows of objects as a table with these columns. Errors: json::exception if a row is not an
/// object. Nested values are written as JSON. Control
/// characters are replaced, since they could change what the terminal shows.
void writeTable(std::ostream &out, const nlohmann::json &rows,
                const std::vector<std::string> &columns);

/// Writes an object: arrays of objects as tables with a title, other members as "name: value".
void writeObject(std::ostream &out, const nlohmann::json &object);

} // namespace banyanrill::cli
