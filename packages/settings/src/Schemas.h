// JSON Schemas of the values in each subtree.
#pragma once

#include <string_view>

namespace banyanrill::settings {

/// Upper bounds keep every product of a count and an amount far below 2^63: 65,536 tasks (the bound
/// of the task table) of at most 10^9 units. A run or deadline is at most a year.
inline constexpr std::string_view JobSchema = R"({
  "type": "object",
  "additionalProperties": false,
  "required": ["count", "millicores", "memory_mib"],
  "properties": {
    "count": {"type": "integer", "minimum": 1, "maximum": 65536},
    "millicores": {"type": "integer", "minimum": 0, "maximum": 1000000000},
    "memory_mib": {"type": "integer", "minimum": 0, "maximum": 1000000000},
    "accelerators": {"type": "integer", "minimum": 0, "maximum": 1000000},
    "priority": {"type": "integer", "minimum": -1000, "maximum": 1000},
    "data_centres": {"type": "array", "maxItems": 64, "uniqueItems": true, "items":
      {"type": "string", "minLength": 1, "maxLength": 64, "pattern": "^[A-Za-z0-9._-]+$"}},
    "max_attempts": {"type": "integer", "minimum": 1, "maximum": 1000},
    "run_ms": {"type": "integer", "minimum": 0, "maximum": 31536000000},
    "deadline_ms": {"type": "integer", "minimum": 0, "maximum": 31536000000},
    "preemptible": {"type": "boolean"},
    "checkpointable": {"type": "boolean"},
    "on_isolation": {"type": "string", "enum": ["move", "keep"]}
  }
})";

/// A request waits for at most an hour.
inline constexpr std::string_view OperationSchema = R"({
  "type": "object",
  "additionalProperties": false,
  "required": ["repeatable"],
  "properties": {
    "repeatable": {"type": "boolean"},
    "millicores": {"type": "integer", "minimum": 0, "maximum": 1000000000},
    "memory_mib": {"type": "integer", "minimum": 0, "maximum": 1000000000},
    "accelerators": {"type": "integer", "minimum": 0, "maximum": 1000000},
    "deadline_ms": {"type": "integer", "minimum": 1, "maximum": 3600000},
    "priority": {"type": "integer", "minimum": -1000, "maximum": 1000},
    "cross_region": {"type": "string", "enum": ["never", "when_full"]}
  }
})";

inline constexpr std::string_view QuotaSchema = R"({
  "type": "object",
  "additionalProperties": false,
  "required": ["millicores", "memory_mib", "accelerators"],
  "properties": {
    "millicores": {"type": "integer", "minimum": 0, "maximum": 1000000000000},
    "memory_mib": {"type": "integer", "minimum": 0, "maximum": 1000000000000},
    "accelerators": {"type": "integer", "minimum": 0, "maximum": 1000000000}
  }
})";

inline constexpr std::string_view TokenSchema = R"({
  "type": "object",
  "additionalProperties": false,
  "required": ["sha256", "role"],
  "properties": {
    "sha256": {"type": "string", "pattern": "^[0-9A-Fa-f]{64}$"},
    "role": {"type": "string", "enum": ["admin", "team"]},
    "team": {"type": "string", "minLength": 1, "maxLength": 64, "pattern": "^[A-Za-z0-9._-]+$"}
  }
})";

inline constexpr std::string_view WorkerSchema = R"({
  "type": "object",
  "additionalProperties": false,
  "required": ["draining"],
  "properties": {"draining": {"type": "boolean"}}
})";

inline constexpr std::string_view DataCentreSchema = R"({
  "type": "object",
  "additionalProperties": false,
  "required": ["lost"],
  "properties": {"lost": {"type": "boolean"}}
})";

/// An epoch stays exact in readers that hold numbers as doubles (up to 2^53).
inline constexpr std::string_view OwnerSchema = R"({
  "type": "object",
  "additionalProperties": false,
  "required": ["daemon", "epoch"],
  "properties": {
    "daemon": {"type": "integer", "minimum": 0, "maximum": 4294967295},
    "epoch": {"type": "integer", "minimum": 0, "maximum": 9007199254740992}
  }
})";

} // namespace banyanrill::settings
