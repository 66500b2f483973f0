// Paths of settings: their syntax, and which part of the tree a path belongs to.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace banyanrill::settings {

inline constexpr std::size_t MaxPathSegments = 8;
inline constexpr std::size_t MaxSegmentBytes = 64;

/// Part of the tree whose values share one schema.
enum class Subtree : std::uint8_t {
  Operation,
  Service,
  Batch,
  Gang,
  Note,
  Quota,
  Token,
  Worker,
  DataCentre,
  Owner
};

/// Segments of a path. Empty optional if the path breaks the rule that `PathRule` states.
/// The views refer to `path`.
std::optional<std::vector<std::string_view>> splitPath(std::string_view path);

inline constexpr std::string_view PathRule =
    "a path starts with '/' and has 1 to 8 segments of 1 to 64 characters out of [A-Za-z0-9._-]";

/// Subtree of a split path, or an empty optional for a path outside the known subtrees.
std::optional<Subtree> subtreeOf(const std::vector<std::string_view> &segments);

} // namespace banyanrill::settings
