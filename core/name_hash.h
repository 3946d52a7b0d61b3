#pragma once

#include "core/hash.h"
#include "core/identifiers.h"

#include <compare>
#include <concepts>
#include <cstddef>
#include <cstdint>
#include <functional>

namespace monsoonsail {

/// Hash of a name, the same on every instance without coordination. It replaces the name in
/// messages between entry instances and as a map key, since it is shorter and faster to compare.
template <typename Tag, std::unsigned_integral Value>
class NameHash
{
public:
    NameHash() = default;
    explicit NameHash(Value value)
        : m_value(value)
    { }
    // Implicit, so that a name can be passed wherever a hash is looked up.
    NameHash(const Identifier<Tag> &name) // NOLINT(google-explicit-constructor)
        : m_value(static_cast<Value>(stableHash(name.view())))
    { }

    Value value() const { return m_value; }

    // clang-tidy mistakes the defaulted comparison for a use of the literal 0.
    auto operator<=>(const NameHash &other) const = default; // NOLINT(modernize-use-nullptr)

private:
    Value m_value = 0;
};

/// 32 bits: among thousands of endpoints two may have the same hash. Each of them then counts the
/// load of both.
using EndpointHash = NameHash<struct EndpointTag, std::uint32_t>;
/// 64 bits, since the allowances of two accounts must not be mixed up.
using AccountHash = NameHash<struct AccountTag, std::uint64_t>;
using ServiceHash = NameHash<struct ServiceTag, std::uint64_t>;

} // namespace monsoonsail

template <typename Tag, std::unsigned_integral Value>
struct std::hash<monsoonsail::NameHash<Tag, Value>>
{
    std::size_t operator()(const monsoonsail::NameHash<Tag, Value> &nameHash) const noexcept
    {
        return static_cast<std::size_t>(nameHash.value());
    }
};
