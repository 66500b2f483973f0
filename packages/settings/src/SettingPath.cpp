#include "SettingPath.h"

#include <algorithm>
#include <array>

namespace banyanrill::settings {

namespace {

bool isSegmentCharacter(char character) {
  return (character >= 'A' && character <= 'Z') || (character >= 'a' && character <= 'z') ||
         (character >= '0' && character <= '9') || character == '.' || character == '_' ||
         character == '-';
}

struct NamedSubtree {
  std::string_view name;
  Subtree subtree;
};

constexpr std::array<NamedSubtree, 5> TeamSubtrees = {{{"operations", Subtree::Operation},
                                                       {"services", Subtree::Service},
                                                       {"batches", Subtree::Batch},
                                                       {"gangs", Subtree::Gang},
                                                       {"notes", Subtree::Note}}};

constexpr std::array<NamedSubtree, 4> CellSubtrees = {{{"quotas", Subtree::Quota},
                                                       {"tokens", Subtree::Token},
                                                       {"workers", Subtree::Worker},
                                                       {"data-centres", Subtree::DataCentre}}};

template <std::size_t Size>
std::optional<Subtree> find(const std::array<NamedSubtree, Size> &subtrees, std::string_view name) {
  for (const NamedSubtree &candidate : subtrees) {
    if (candidate.name == name)
      return candidate.subtree;
  }
  return std::nullopt;
}

/// Exactly one dot, so that the names of service and operation cannot be confused.
bool isOperationName(std::string_view name) {
  const std::size_t dot = name.find('.');
  return dot != std::string_view::npos && dot > 0 && dot + 1 < name.size() &&
         name.find('.', dot + 1) == std::string_view::npos;
}

} // namespace

std::optional<std::vector<std::string_view>> splitPath(std::string_view path) {
  std::vector<std::string_view> segments;
  while (!path.empty()) {
    if (path.front() != '/' || segments.size() == MaxPathSegments)
      return std::nullopt;
    const std::size_t end = std::min(path.find('/', 1), path.size());
    const std::string_view segment = path.substr(1, end - 1);
    if (segment.empty() || segment.size() > MaxSegmentBytes ||
        !std::all_of(segment.begin(), segment.end(), isSegmentCharacter))
      return std::nullopt;
    segments.push_back(segment);
    path.remove_prefix(end);
  }
  if (segments.empty())
    return std::nullopt;
  return segments;
}

std::optional<Subtree> subtreeOf(const std::vector<std::string_view> &segments) {
  if (segments.size() == 4 && segments[0] == "teams") {
    const std::optional<Subtree> subtree = find(TeamSubtrees, segments[2]);
    if (subtree == Subtree::Operation && !isOperationName(segments[3]))
      return std::nullopt;
    return subtree;
  }
  if (segments.size() == 3 && segments[0] == "cell")
    return find(CellSubtrees, segments[1]);
  if (segments.size() == 3 && segments[0] == "system" && segments[1] == "owners")
    return Subtree::Owner;
  return std::nullopt;
}

} // namespace banyanrill::settings
