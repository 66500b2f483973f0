// Parsing of JSON values and their check against the schema of a subtree.
#pragma once

#include "SettingPath.h"
#include "banyanrill/base/Error.h"

#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

namespace banyanrill::settings {

/// Deeper values are refused, because readers of a value may descend by recursion.
inline constexpr std::size_t MaxJsonDepth = 64;

/// Parses a value. Refuses what RFC 8259 leaves open and readers treat differently: a member name
/// that occurs twice. Errors: Malformed, with an empty path.
base::Result<nlohmann::json> parseJson(const std::string &text);

/// Checks a value against the schema of its subtree. Errors: SchemaViolation; the path is a JSON
/// pointer into the value. Thread-safe.
base::Status checkSchema(Subtree subtree, const nlohmann::json &value);

/// Copy that is fit for a log or an error message: at most 256 bytes of printable ASCII.
std::string printable(std::string_view text);

} // namespace banyanrill::settings
