#pragma once

#include <protozero/pbf_message.hpp>
#include <protozero/pbf_writer.hpp>

#include <cstdint>

namespace monsoonsail {

/// Kinds of datagrams, and the version of their layout. It is the first field of each; changes with
/// every change of a layout, so that others are dropped.
enum class Layout : std::uint32_t {
    Digest = 5,
    Bulletin = 105,
};
constexpr protozero::pbf_tag_type layoutTag = 1;

template <typename Field>
constexpr protozero::pbf_tag_type tag(Field field)
{
    return static_cast<protozero::pbf_tag_type>(field);
}

// Fields of an unexpected type are skipped like unknown ones: the getters don't check it.
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
