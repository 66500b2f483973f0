// Values of labels in the text format of the metrics.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace banyanrill::node {

/// Workspaces with metrics of their own; the others are counted together.
constexpr std::size_t MaxLabelledWorkspaces = 64;

/// Returns the text as a label's value, without the quotes around it. Pure and thread-safe.
inline std::string escapeLabelValue(std::string_view text) {
  std::string escaped;
  for (const char character : text) {
    if (character == '\n') {
      escaped += "\\n";
      continue;
    }
    if (character == '"' || character == '\\')
      escaped += '\\';
    escaped += character;
  }
  return escaped;
}

} // namespace banyanrill::node
