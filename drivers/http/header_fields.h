#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace monsoonsail {

/// One header field as it was received.
struct HeaderField
{
    std::string name;
    std::string value;
};

/// The header fields of a message in their order, repeated ones included.
class HeaderFields
{
public:
    void add(std::string_view name, std::string_view value);
    /// Returns the first value of the field, whatever the case of its name, or nothing.
    std::optional<std::string_view> find(std::string_view name) const;
    /// Returns how many fields have this name.
    std::size_t count(std::string_view name) const;

    const std::vector<HeaderField> &all() const { return m_fields; }
    void clear() { m_fields.clear(); }

private:
    std::vector<HeaderField> m_fields;
};

/// Whether two header names are the same; their case does not matter.
bool equalFieldNames(std::string_view left, std::string_view right);
/// Whether the field concerns one connection only and is never passed on. `connection` is the
/// value of the Connection field, which may name further ones.
bool isHopByHop(std::string_view name, std::string_view connection);

} // namespace monsoonsail
