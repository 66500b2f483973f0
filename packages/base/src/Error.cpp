#include "banyanrill/base/Error.h"

namespace banyanrill::base {

namespace {

class Category : public std::error_category {
public:
  const char *name() const noexcept override { return "banyanrill"; }

  std::string message(int value) const override {
    switch (static_cast<Errc>(value)) {
    case Errc::Malformed:
      return "malformed";
    case Errc::SchemaViolation:
      return "schema_violation";
    case Errc::NotFound:
      return "not_found";
    case Errc::VersionConflict:
      return "version_conflict";
    case Errc::Unauthorized:
      return "unauthorized";
    case Errc::Forbidden:
      return "forbidden";
    case Errc::TooLarge:
      return "too_large";
    case Errc::LimitReached:
      return "limit_reached";
    case Errc::KeyReuse:
      return "key_reuse";
    case Errc::Unavailable:
      return "unavailable";
    case Errc::Infeasible:
      return "infeasible";
    case Errc::DataCorrupted:
      return "data_corrupted";
    case Errc::StorageFailure:
      return "storage_failure";
    }
    return "unknown";
  }
};

} // namespace

const std::error_category &errorCategory() {
  static const Category Instance;
  return Instance;
}

std::error_code make_error_code(Errc code) { return {static_cast<int>(code), errorCategory()}; }

} // namespace banyanrill::base
