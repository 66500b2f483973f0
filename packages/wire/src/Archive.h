// Writes and reads plain structs as MessagePack arrays. Each struct lists its fields once, in
// Fields.h, for both directions.
#pragma once

#include <cstdint>
#include <map>
#include <msgpack.hpp>
#include <optional>
#include <set>
#include <stdexcept>
#include <string>
#include <type_traits>
#include <utility>
#include <variant>
#include <vector>

namespace banyanrill::wire {

/// Thrown for input that `Writer` cannot have produced.
class MalformedInput : public std::runtime_error {
public:
  using std::runtime_error::runtime_error;
};

/// Appends values to a buffer.
class Writer {
public:
  template <typename... Fields> void operator()(const Fields &...fields) {
    this->packer.pack_array(sizeof...(fields));
    (this->write(fields), ...);
  }

  void write(bool value) { this->packer.pack(value); }
  void write(const std::string &value) {
    this->packer.pack_bin(static_cast<std::uint32_t>(value.size()));
    this->packer.pack_bin_body(value.data(), static_cast<std::uint32_t>(value.size()));
  }
  void write(std::monostate) { this->packer.pack_nil(); }

  template <typename Number>
  requires std::is_arithmetic_v<Number>
  void write(Number value) { this->packer.pack(value); }

  template <typename Enum>
  requires std::is_enum_v<Enum>
  void write(Enum value) { this->packer.pack(static_cast<std::int64_t>(value)); }

  template <typename T> void write(const std::optional<T> &value) {
    if (!value) {
      this->packer.pack_nil();
      return;
    }
    this->packer.pack_array(1);
    this->write(*value);
  }

  template <typename T> void write(const std::vector<T> &values) {
    this->packer.pack_array(static_cast<std::uint32_t>(values.size()));
    for (const T &value : values)
      this->write(value);
  }

  template <typename K, typename V> void write(const std::map<K, V> &values) {
    this->packer.pack_array(static_cast<std::uint32_t>(values.size()));
    for (const std::pair<const K, V> &value : values)
      (*this)(value.first, value.second);
  }

  template <typename T> void write(const std::set<T> &values) {
    this->packer.pack_array(static_cast<std::uint32_t>(values.size()));
    for (const T &value : values)
      this->write(value);
  }

  template <typename A, typename B> void write(const std::pair<A, B> &value) {
    (*this)(value.first, value.second);
  }

  template <typename... Types> void write(const std::variant<Types...> &value) {
    this->packer.pack_array(2);
    this->packer.pack(value.index());
    std::visit([this](const auto &typed) { this->write(typed); }, value);
  }

  template <typename Struct>
  requires std::is_class_v<Struct>
  void write(const Struct &value) { describe(*this, value); }

  std::string take() { return {this->buffer.data(), this->buffer.size()}; }

private:
  msgpack::sbuffer buffer;
  msgpack::packer<msgpack::sbuffer> packer{buffer};
};

/// Reads values from a parsed object; throws `MalformedInput` for any deviation.
class Reader {
public:
  explicit Reader(const msgpack::object &object) : object(&object) {}

  template <typename... Fields> void operator()(Fields &...fields) {
    const msgpack::object_array &array = this->arrayOf(sizeof...(fields));
    const msgpack::object *next = array.ptr;
    (Reader(*next++).read(fields), ...);
  }

  void read(bool &value) { value = this->as<bool>(); }
  void read(std::monostate &) {
    if (!this->object->is_nil())
      throw MalformedInput("nil expected");
  }
  void read(std::string &value) {
    if (this->object->type != msgpack::type::BIN)
      throw MalformedInput("bytes expected");
    value.assign(this->object->via.bin.ptr, this->object->via.bin.size);
  }

  template <typename Number>
  requires std::is_arithmetic_v<Number>
  void read(Number &value) { value = this->as<Number>(); }

  template <typename Enum>
  requires std::is_enum_v<Enum>
  void read(Enum &value) {
    // No enumeration of the protocol has more than 32 values; users of a value reject unknown ones.
    const auto number = this->as<std::int64_t>();
    if (number < 0 || number > 32)
      throw MalformedInput("enumeration out of range");
    value = static_cast<Enum>(number);
  }

  template <typename T> void read(std::optional<T> &value) {
    if (this->object->is_nil()) {
      value.reset();
      return;
    }
    const msgpack::object_array &array = this->arrayOf(1);
    Reader(array.ptr[0]).read(value.emplace());
  }

  template <typename T> void read(std::vector<T> &values) {
    if (this->object->type != msgpack::type::ARRAY)
      throw MalformedInput("array expected");
    const msgpack::object_array &array = this->object->via.array;
    values.clear();
    values.reserve(array.size);
    for (std::uint32_t i = 0; i < array.size; ++i)
      Reader(array.ptr[i]).read(values.emplace_back());
  }

  template <typename K, typename V> void read(std::map<K, V> &values) {
    std::vector<std::pair<K, V>> pairs;
    this->read(pairs);
    values.clear();
    for (std::pair<K, V> &pair : pairs) {
      if (!values.insert(std::move(pair)).second)
        throw MalformedInput("key that occurs twice");
    }
  }

  template <typename T> void read(std::set<T> &values) {
    std::vector<T> list;
    this->read(list);
    values = std::set<T>(list.begin(), list.end());
    if (values.size() != list.size())
      throw MalformedInput("value that occurs twice");
  }

  template <typename A, typename B> void read(std::pair<A, B> &value) {
    (*this)(value.first, value.second);
  }

  template <typename... Types> void read(std::variant<Types...> &value) {
    const msgpack::object_array &array = this->arrayOf(2);
    const auto index = Reader(array.ptr[0]).as<std::uint64_t>();
    if (!this->readAlternative(value, index, array.ptr[1], std::index_sequence_for<Types...>{}))
      throw MalformedInput("unknown kind of message");
  }

  template <typename Struct>
  requires std::is_class_v<Struct>
  void read(Struct &value) { describe(*this, value); }

private:
  template <typename T> T as() const {
    try {
      return this->object->as<T>();
    } catch (const msgpack::type_error &) {
      throw MalformedInput("value of another type");
    }
  }

  const msgpack::object_array &arrayOf(std::size_t size) const {
    if (this->object->type != msgpack::type::ARRAY || this->object->via.array.size != size)
      throw MalformedInput("array of another length");
    return this->object->via.array;
  }

  template <typename Variant, std::size_t... Indices>
  bool readAlternative(Variant &value, std::uint64_t index, const msgpack::object &content,
                       std::index_sequence<Indices...>) {
    return ((index == Indices && (Reader(content).read(value.template emplace<Indices>()), true)) ||
            ...);
  }

  const msgpack::object *object;
};

} // namespace banyanrill::wire
