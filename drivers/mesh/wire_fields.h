#pragma once

#include <protozero/pbf_message.hpp>
#include <protozero/pbf_writer.hpp>

#include <cstdint>

namespace monsoonsail {

/// Kind of a datagram and version of its layout; the first field of each datagram. The number must
/// change when a field changes its meaning, so that datagrams of other versions are dropped. Added
/// fields don't need that, since unknown ones are skipped.
enum class Layout : std::uint32_t {
    Digest = 7,
    Bulletin = 105,
};
constexpr protozero::pbf_tag_type layoutTag = 1;

template <typename Field>
constexpr protozero::pbf_tag_type tag(Field field)
{
    return static_cast<protozero::pbf_tag_type>(field);
}

// The functions below combine a field with its wire type, so that fields of an unexpected type are
// skipped like unknown ones. The getters of protozero don't check the type.
template <typename Field>
constexpr std::uint32_t varint(Field field)
{
    return protozero::tag_and_type(tag(field), protozero::pbf_wire_type::varint);
}

template <typename Field>
constexpr std::uint32_t lengthDelimited(Field field)
{
    return protozero::tag_and_type(tag(field), protozero::pbf_wire_type::length_delimited);
}

template <typename Field>
constexpr std::uint32_t fixed32(Field field)
{
    return protozero::tag_and_type(tag(field), protozero::pbf_wire_type::fixed32);
}

template <typename Field>
constexpr std::uint32_t fixed64(Field field)
{
    return protozero::tag_and_type(tag(field), protozero::pbf_wire_type::fixed64);
}

} // namespace monsoonsail
