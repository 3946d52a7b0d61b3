#pragma once

#include <compare>
#include <functional>
#include <string>
#include <string_view>
#include <utility>

namespace monsoonsail {

/// A string identifier whose tag keeps identifiers of different kinds apart at compile time.
template <typename Tag>
class Identifier
{
public:
    Identifier() = default;
    explicit Identifier(std::string value)
        : m_value(std::move(value))
    { }

    const std::string &value() const { return m_value; }
    std::string_view view() const { return m_value; }
    bool isEmpty() const { return m_value.empty(); }

    // clang-tidy mistakes the defaulted comparison for a use of the literal 0.
    auto operator<=>(const Identifier &other) const = default; // NOLINT(modernize-use-nullptr)

private:
    std::string m_value;
};

} // namespace monsoonsail

template <typename Tag>
struct std::hash<monsoonsail::Identifier<Tag>>
{
    std::size_t operator()(const monsoonsail::Identifier<Tag> &identifier) const noexcept
    {
        return std::hash<std::string>{}(identifier.value());
    }
};
