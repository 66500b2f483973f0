// Errors that a user made, as values: what rule was broken and where.
#pragma once

#include <string>
#include <system_error>
#include <utility>
#include <variant>

namespace banyanrill::base {

/// Codes of errors caused by a user's input or by the state of the cell.
/// Faults of the program itself are assertions, never one of these.
enum class Errc {
  Malformed = 1,   ///< Input cannot be parsed.
  SchemaViolation, ///< Input breaks a rule of its schema.
  NotFound,        ///< The named object does not exist.
  VersionConflict, ///< Compare-and-set with a version that is not the current one.
  Unauthorized,    ///< No valid token.
  Forbidden,       ///< The token does not allow this path or action.
  TooLarge,        ///< A stated size limit is exceeded.
  LimitReached,    ///< A bounded table or queue is full.
  KeyReuse,        ///< An idempotency key was used with another body.
  Unavailable,     ///< Not possible now; may be tried again.
  Infeasible,      ///< A job that can never run in this cell.
  DataCorrupted,   ///< A file of the daemon's data folder is damaged.
  StorageFailure,  ///< A read, write or sync of a file failed.
};

const std::error_category &errorCategory();
std::error_code make_error_code(Errc code);

/// An error with the place (path in a file, setting or request) and the rule that was broken.
struct Error {
  std::error_code code;
  std::string path;
  std::string message;

  bool operator==(const Error &) const = default;
};

/// Either a value or an error. Not thread-safe; a plain value.
template <typename T> class Result {
public:
  Result(T value) : content(std::move(value)) {}
  Result(Error error) : content(std::move(error)) {}

  bool ok() const { return std::holds_alternative<T>(this->content); }
  explicit operator bool() const { return this->ok(); }

  /// Precondition: `ok()`.
  const T &value() const { return std::get<T>(this->content); }
  T &value() { return std::get<T>(this->content); }

  /// Precondition: not `ok()`.
  const Error &error() const { return std::get<Error>(this->content); }

private:
  std::variant<T, Error> content;
};

/// Result of an operation that returns nothing on success.
using Status = Result<std::monostate>;

} // namespace banyanrill::base

template <> struct std::is_error_code_enum<banyanrill::base::Errc> : std::true_type {};
