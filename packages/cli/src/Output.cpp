#include "Output.h"

#include <algorithm>
#include <ostream>

namespace banyanrill::cli {

namespace {

using nlohmann::json;

std::string cellText(const json &row, const std::string &column) {
  const auto &members = row.get_ref<const json::object_t &>();
  const auto found = members.find(column);
  if (found == members.end() || found->second.is_null())
    return "-";
  const json &value = found->second;
  std::string text = value.is_string() ? value.get<std::string>()
                                       : value.dump(-1, ' ', false, json::error_handler_t::replace);
  for (char &character : text) {
    if (static_cast<unsigned char>(character) < 0x20 || character == 0x7f)
      character = '?';
  }
  return text;
}

/// Columns in the order in which they first appear.
std::vector<std::string> columnsOf(const json &rows) {
  std::vector<std::string> columns;
  for (const json &row : rows) {
    for (const auto &[key, value] : row.items()) {
      if (std::find(columns.begin(), columns.end(), key) == columns.end())
        columns.push_back(key);
    }
  }
  return columns;
}

bool isTable(const json &value) {
  return value.is_array() && !value.empty() &&
         std::all_of(value.begin(), value.end(), [](const json &row) { return row.is_object(); });
}

} // namespace

void writeTable(std::ostream &out, const json &rows, const std::vector<std::string> &columns) {
  std::vector<std::size_t> widths;
  std::vector<std::vector<std::string>> lines(1);
  for (const std::string &column : columns) {
    std::string title = column;
    std::transform(title.begin(), title.end(), title.begin(), [](char character) {
      return character >= 'a' && character <= 'z' ? static_cast<char>(character - 'a' + 'A')
                                                  : character;
    });
    widths.push_back(title.size());
    lines.front().push_back(std::move(title));
  }
  for (const json &row : rows) {
    std::vector<std::string> line;
    for (std::size_t index = 0; index < columns.size(); ++index) {
      line.push_back(cellText(row, columns[index]));
      widths[index] = std::max(widths[index], line.back().size());
    }
    lines.push_back(std::move(line));
  }
  for (const std::vector<std::string> &line : lines) {
    for (std::size_t index = 0; index < line.size(); ++index) {
      out << line[index];
      if (index + 1 < line.size())
        out << std::string(widths[index] - line[index].size() + 2, ' ');
    }
    out << '\n';
  }
}

void writeObject(std::ostream &out, const json &object) {
  for (const auto &[key, value] : object.items()) {
    if (!isTable(value))
      out << key << ": " << cellText(object, key) << '\n';
  }
  for (const auto &[key, value] : object.items()) {
    if (!isTable(value))
      continue;
    out << '\n' << key << ":\n";
    writeTable(out, value, columnsOf(value));
  }
}

} // namespace banyanrill::cli
