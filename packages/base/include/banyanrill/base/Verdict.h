// States whether a request may have run. Every refusal carries one.
#pragma once

#include <optional>
#include <string_view>

namespace banyanrill::base {

enum class Verdict {
  DidNotRun,  ///< Certain: no upstream received the request.
  MayHaveRun, ///< In doubt; the caller must not assume either.
  Ran,        ///< Certain: an upstream completed the request.
};

/// The verdict's name in HTTP headers and bodies, for example "did-not-run".
std::string_view toString(Verdict verdict);

/// Inverse of `toString`; empty for an unknown name.
std::optional<Verdict> parseVerdict(std::string_view text);

} // namespace banyanrill::base
