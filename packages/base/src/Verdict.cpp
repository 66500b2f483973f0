#include "banyanrill/base/Verdict.h"

#include <array>
#include <utility>

namespace banyanrill::base {

namespace {

constexpr std::array<std::pair<Verdict, std::string_view>, 3> Names = {{
    {Verdict::DidNotRun, "did-not-run"},
    {Verdict::MayHaveRun, "may-have-run"},
    {Verdict::Ran, "ran"},
}};

} // namespace

std::string_view toString(Verdict verdict) {
  for (const auto &[value, name] : Names) {
    if (value == verdict)
      return name;
  }
  return "may-have-run";
}

std::optional<Verdict> parseVerdict(std::string_view text) {
  for (const auto &[value, name] : Names) {
    if (name == text)
      return value;
  }
  return std::nullopt;
}

} // namespace banyanrill::base
