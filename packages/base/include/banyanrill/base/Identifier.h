// Typed identifiers, so that one kind cannot be passed for another.
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace banyanrill::base {

/// Text identifier. The tag makes identifiers of different kinds distinct types.
template <typename Tag> struct TextId {
  std::string value;

  auto operator<=>(const TextId &) const = default;
  bool operator==(const TextId &) const = default;
};

using WorkerId = TextId<struct WorkerTag>;
using UpstreamId = TextId<struct UpstreamTag>;

/// Path of the job's setting, for example "/teams/riga/batches/reconcile-2026-11".
using JobId = TextId<struct JobTag>;

/// Number of a daemon in its cell, from its settings file. Zero names no daemon.
using DaemonId = std::uint32_t;
inline constexpr DaemonId NoDaemon = 0;

/// The numbers, separated by commas. Pure and thread-safe.
std::string joined(const std::vector<DaemonId> &ids);

/// One task of a job. A replacement of a failed task has the same identifier and a higher attempt.
struct TaskId {
  JobId job;
  std::uint32_t index = 0;

  auto operator<=>(const TaskId &) const = default;
  bool operator==(const TaskId &) const = default;
};

} // namespace banyanrill::base

template <typename Tag> struct std::hash<banyanrill::base::TextId<Tag>> {
  std::size_t operator()(const banyanrill::base::TextId<Tag> &id) const noexcept {
    return std::hash<std::string>{}(id.value);
  }
};

template <> struct std::hash<banyanrill::base::TaskId> {
  std::size_t operator()(const banyanrill::base::TaskId &id) const noexcept {
    return std::hash<std::string>{}(id.job.value) * 31 + id.index;
  }
};
