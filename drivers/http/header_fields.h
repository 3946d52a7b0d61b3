#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace monsoonsail {

/// A header field as received.
struct HeaderField
{
    std::string name;
    std::string value;
};

/// The header fields of a message in the order received. Names may occur several times.
class HeaderFields
{
public:
    void add(std::string_view name, std::string_view value);
    /// Returns the value of the first field with this name, compared case-insensitively, or
    /// std::nullopt.
    std::optional<std::string_view> find(std::string_view name) const;
    /// Returns the number of fields with this name.
    std::size_t count(std::string_view name) const;

    /// Returns the bytes of memory that the fields take, about.
    std::size_t memoryBytes() const { return m_memoryBytes; }

    const std::vector<HeaderField> &all() const { return m_fields; }

private:
    std::vector<HeaderField> m_fields;
    std::size_t m_memoryBytes = 0;
};

/// Compares two field names case-insensitively.
bool equalFieldNames(std::string_view left, std::string_view right);
/// Whether the field applies to a single connection and must not be forwarded. `connection` is the
/// value of the Connection field, which may list further names.
bool isHopByHop(std::string_view name, std::string_view connection);

} // namespace monsoonsail
