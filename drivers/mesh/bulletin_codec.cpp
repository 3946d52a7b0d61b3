#include "drivers/mesh/bulletin_codec.h"

#include "drivers/mesh/wire_fields.h"

#include <utility>

namespace monsoonsail {

namespace {

/// Numbers of the fields on the wire.
enum class BulletinField : protozero::pbf_tag_type {
    Layout = layoutTag,
    SentAt = 2,
    NeedsZoneRelay = 3,
    Update = 4,
    End = 5, ///< Last field; missing in truncated bulletins.
};

enum class UpdateField : protozero::pbf_tag_type {
    Instance = 1,
    StartedMs = 2,
    Sequence = 3,
    LogOffset = 4,
    Service = 5,
    Address = 6,
    Zone = 7,
    Slots = 8,
    IsLeaving = 9,
    IsReclaimable = 10,
    LeavesAt = 11,
    ColdUntil = 12,
    State = 13,
    UsableUntil = 14,
    IsListed = 15,
    Age = 16,
    Software = 17,
};

using Writer = protozero::pbf_writer;
using Reader = protozero::pbf_message<BulletinField>;
using UpdateReader = protozero::pbf_message<UpdateField>;

// The other fields of a leaving endpoint are left out, since it gets no more work.
void writeUpdate(const EndpointUpdate &update, Writer writer)
{
    const EndpointListing &listing = update.listing;
    writer.add_string(tag(UpdateField::Instance), listing.instance);
    writer.add_int64(tag(UpdateField::StartedMs), listing.startedMs);
    writer.add_uint64(tag(UpdateField::Sequence), listing.sequence);
    writer.add_uint64(tag(UpdateField::LogOffset), listing.logOffset);
    writer.add_uint32(tag(UpdateField::State), static_cast<std::uint32_t>(update.state));
    writer.add_bool(tag(UpdateField::IsListed), update.isListed);
    writer.add_int64(tag(UpdateField::Age), update.age.count());
    if (listing.leavesAt)
        writer.add_sint64(tag(UpdateField::LeavesAt), toMicroseconds(*listing.leavesAt));
    if (update.usableUntil != Instant::min())
        writer.add_sint64(tag(UpdateField::UsableUntil), toMicroseconds(update.usableUntil));
    // Streams of a leaving endpoint still have its version.
    writer.add_string(tag(UpdateField::Software), listing.software.value());
    if (update.state == EndpointState::Leaving)
        return;
    writer.add_string(tag(UpdateField::Service), listing.service.value());
    writer.add_string(tag(UpdateField::Address), listing.address);
    writer.add_string(tag(UpdateField::Zone), listing.zone.value());
    writer.add_uint32(tag(UpdateField::Slots), listing.slots);
    writer.add_bool(tag(UpdateField::IsLeaving), listing.isLeaving);
    writer.add_bool(tag(UpdateField::IsReclaimable), listing.isReclaimable);
    writer.add_sint64(tag(UpdateField::ColdUntil), toMicroseconds(listing.coldUntil));
}

/// Returns std::nullopt if the state is unknown.
std::optional<EndpointUpdate> readUpdate(UpdateReader reader)
{
    constexpr auto lastState = static_cast<std::uint32_t>(EndpointState::Leaving);
    EndpointUpdate update{.usableUntil = Instant::min()};
    std::uint32_t state = 0;
    EndpointListing &listing = update.listing;
    while (reader.next()) {
        switch (reader.tag_and_type()) {
        case lengthDelimited(UpdateField::Instance):
            listing.instance = reader.get_string();
            break;
        case varint(UpdateField::StartedMs):
            listing.startedMs = reader.get_int64();
            break;
        case varint(UpdateField::Sequence):
            listing.sequence = reader.get_uint64();
            break;
        case varint(UpdateField::LogOffset):
            listing.logOffset = reader.get_uint64();
            break;
        case lengthDelimited(UpdateField::Service):
            listing.service = ServiceId(reader.get_string());
            break;
        case lengthDelimited(UpdateField::Software):
            listing.software = SoftwareVersion(reader.get_string());
            break;
        case lengthDelimited(UpdateField::Address):
            listing.address = reader.get_string();
            break;
        case lengthDelimited(UpdateField::Zone):
            listing.zone = ZoneId(reader.get_string());
            break;
        case varint(UpdateField::Slots):
            listing.slots = reader.get_uint32();
            break;
        case varint(UpdateField::IsLeaving):
            listing.isLeaving = reader.get_bool();
            break;
        case varint(UpdateField::IsReclaimable):
            listing.isReclaimable = reader.get_bool();
            break;
        case varint(UpdateField::LeavesAt):
            listing.leavesAt = instantFromMicroseconds(reader.get_sint64());
            break;
        case varint(UpdateField::ColdUntil):
            listing.coldUntil = instantFromMicroseconds(reader.get_sint64());
            break;
        case varint(UpdateField::State):
            state = reader.get_uint32();
            break;
        case varint(UpdateField::IsListed):
            update.isListed = reader.get_bool();
            break;
        case varint(UpdateField::Age):
            update.age = Duration(reader.get_int64());
            break;
        case varint(UpdateField::UsableUntil):
            update.usableUntil = instantFromMicroseconds(reader.get_sint64());
            break;
        default:
            reader.skip();
        }
    }
    if (state > lastState)
        return std::nullopt;
    update.state = static_cast<EndpointState>(state);
    return update;
}

} // namespace

std::string encodeBulletin(const Bulletin &bulletin)
{
    std::string bytes;
    Writer writer(bytes);
    writer.add_uint32(tag(BulletinField::Layout), tag(Layout::Bulletin));
    writer.add_sint64(tag(BulletinField::SentAt), toMicroseconds(bulletin.sentAt));
    writer.add_bool(tag(BulletinField::NeedsZoneRelay), bulletin.needsZoneRelay);
    for (const EndpointUpdate &update : bulletin.updates)
        writeUpdate(update, Writer(writer, tag(BulletinField::Update)));
    writer.add_bool(tag(BulletinField::End), true);
    return bytes;
}

std::optional<Bulletin> decodeBulletin(std::string_view bytes)
{
    try {
        Reader reader(bytes.data(), bytes.size());
        if (!reader.next() || reader.tag_and_type() != varint(BulletinField::Layout)
            || reader.get_uint32() != tag(Layout::Bulletin))
            return std::nullopt;
        Bulletin bulletin;
        while (reader.next()) {
            switch (reader.tag_and_type()) {
            case varint(BulletinField::SentAt):
                bulletin.sentAt = instantFromMicroseconds(reader.get_sint64());
                break;
            case varint(BulletinField::NeedsZoneRelay):
                bulletin.needsZoneRelay = reader.get_bool();
                break;
            case lengthDelimited(BulletinField::Update):
                if (auto update = readUpdate(reader.get_message()))
                    bulletin.updates.push_back(*std::move(update));
                break;
            case varint(BulletinField::End):
                reader.skip();
                return bulletin;
            default:
                reader.skip();
            }
        }
    } catch (const protozero::exception &) {
        return std::nullopt;
    }
    return std::nullopt;
}

} // namespace monsoonsail
