#include "drivers/mesh/digest_codec.h"

#include "drivers/mesh/wire_fields.h"

#include <cmath>

namespace monsoonsail {

namespace {

/// Numbers of the fields on the wire.
enum class DigestField : protozero::pbf_tag_type {
    Layout = layoutTag,
    Instance = 2,
    Incarnation = 3,
    Address = 4,
    Zone = 5,
    Sequence = 6,
    SentAt = 7,
    Interval = 8,
    Revision = 9,
    Flags = 10,
    FencingNumber = 11,
    Load = 12,
    Use = 13,
    Work = 14,
    Count = 15,
    ConfigurationAge = 17,
    EndpointsAge = 18,
    PeerAddress = 19,
    End = 20, ///< Last field; missing in truncated digests.
    PartCrash = 21,
    SoundPart = 22,
    LiveEndpoint = 23,
    EndpointLimit = 24,
};

/// Numbers of the fields of the nested messages on the wire, in the order in which they are
/// written.
enum class NestedField : protozero::pbf_tag_type {
    First = 1,
    Second = 2,
    Third = 3,
    Fourth = 4
};

enum Flag : std::uint32_t {
    IsStopping = 1,
    RefusesNewRequests = 2,
    IsReader = 4,
    IsComplete = 8,
};

using Writer = protozero::pbf_writer;
using Reader = protozero::pbf_message<DigestField>;
using NestedReader = protozero::pbf_message<NestedField>;

std::uint64_t rounded(double amount)
{
    return amount <= 0 ? 0 : static_cast<std::uint64_t>(std::llround(amount));
}

std::uint32_t flagsOf(const Digest &digest)
{
    return (digest.isStopping ? Flag::IsStopping : 0U)
            | (digest.refusesNewRequests ? Flag::RefusesNewRequests : 0U)
            | (digest.isReader ? Flag::IsReader : 0U) | (digest.isComplete ? Flag::IsComplete : 0U);
}

void writeLoad(const Digest::EndpointLoad &load, Writer writer)
{
    writer.add_fixed32(tag(NestedField::First), load.endpoint.value());
    writer.add_uint32(tag(NestedField::Second), load.running);
    if (load.promptTokens > 0)
        writer.add_uint32(tag(NestedField::Third), load.promptTokens);
    if (load.isSuspect)
        writer.add_bool(tag(NestedField::Fourth), true);
}

Digest::EndpointLoad readLoad(NestedReader reader)
{
    Digest::EndpointLoad load;
    while (reader.next()) {
        switch (reader.tag_and_type()) {
        case fixed32(NestedField::First):
            load.endpoint = EndpointHash(reader.get_fixed32());
            break;
        case varint(NestedField::Second):
            load.running = reader.get_uint32();
            break;
        case varint(NestedField::Third):
            load.promptTokens = reader.get_uint32();
            break;
        case varint(NestedField::Fourth):
            load.isSuspect = reader.get_bool();
            break;
        default:
            reader.skip();
        }
    }
    return load;
}

/// Writes an account's use or the work of a service, which both consist of the hash of a name and
/// two amounts.
void writeAmounts(std::uint64_t nameHash, double first, double second, Writer writer)
{
    writer.add_fixed64(tag(NestedField::First), nameHash);
    writer.add_uint64(tag(NestedField::Second), rounded(first));
    writer.add_uint64(tag(NestedField::Third), rounded(second));
}

struct Amounts
{
    std::uint64_t nameHash = 0;
    double first = 0;
    double second = 0;
};

Amounts readAmounts(NestedReader reader)
{
    Amounts amounts;
    while (reader.next()) {
        switch (reader.tag_and_type()) {
        case fixed64(NestedField::First):
            amounts.nameHash = reader.get_fixed64();
            break;
        case varint(NestedField::Second):
            amounts.first = static_cast<double>(reader.get_uint64());
            break;
        case varint(NestedField::Third):
            amounts.second = static_cast<double>(reader.get_uint64());
            break;
        default:
            reader.skip();
        }
    }
    return amounts;
}

void writeCount(const Digest::UsageCount &count, Writer writer)
{
    writer.add_uint64(tag(NestedField::First), count.window);
    writer.add_string(tag(NestedField::Second), count.account.value());
    writer.add_uint32(tag(NestedField::Third), count.requests);
}

Digest::UsageCount readCount(NestedReader reader)
{
    Digest::UsageCount count;
    while (reader.next()) {
        switch (reader.tag_and_type()) {
        case varint(NestedField::First):
            count.window = reader.get_uint64();
            break;
        case lengthDelimited(NestedField::Second):
            count.account = AccountId(reader.get_string());
            break;
        case varint(NestedField::Third):
            count.requests = reader.get_uint32();
            break;
        default:
            reader.skip();
        }
    }
    return count;
}

void writePartCrash(const Digest::PartCrash &crash, Writer writer)
{
    writer.add_fixed64(tag(NestedField::First), crash.part);
    writer.add_fixed32(tag(NestedField::Second), crash.endpoint.value());
    writer.add_uint32(tag(NestedField::Third), crash.position);
    writer.add_int64(tag(NestedField::Fourth), crash.age.count());
}

Digest::PartCrash readPartCrash(NestedReader reader)
{
    Digest::PartCrash crash;
    while (reader.next()) {
        switch (reader.tag_and_type()) {
        case fixed64(NestedField::First):
            crash.part = reader.get_fixed64();
            break;
        case fixed32(NestedField::Second):
            crash.endpoint = EndpointHash(reader.get_fixed32());
            break;
        case varint(NestedField::Third):
            crash.position = reader.get_uint32();
            break;
        case varint(NestedField::Fourth):
            crash.age = Duration(reader.get_int64());
            break;
        default:
            reader.skip();
        }
    }
    return crash;
}

/// Writes the last use of a prompt part or of an endpoint, which both consist of a hash and an age.
void writeLastUse(std::uint64_t hash, Duration age, Writer writer)
{
    writer.add_fixed64(tag(NestedField::First), hash);
    writer.add_int64(tag(NestedField::Second), age.count());
}

struct LastUse
{
    std::uint64_t hash = 0;
    Duration age{};
};

LastUse readLastUse(NestedReader reader)
{
    LastUse use;
    while (reader.next()) {
        switch (reader.tag_and_type()) {
        case fixed64(NestedField::First):
            use.hash = reader.get_fixed64();
            break;
        case varint(NestedField::Second):
            use.age = Duration(reader.get_int64());
            break;
        default:
            reader.skip();
        }
    }
    return use;
}

void writeEndpointLimit(const Digest::EndpointLimit &limit, Writer writer)
{
    writer.add_fixed32(tag(NestedField::First), limit.endpoint.value());
    writer.add_int64(tag(NestedField::Second), limit.age.count());
    if (limit.perSecond)
        writer.add_double(tag(NestedField::Third), *limit.perSecond);
}

Digest::EndpointLimit readEndpointLimit(NestedReader reader)
{
    Digest::EndpointLimit limit;
    while (reader.next()) {
        switch (reader.tag_and_type()) {
        case fixed32(NestedField::First):
            limit.endpoint = EndpointHash(reader.get_fixed32());
            break;
        case varint(NestedField::Second):
            limit.age = Duration(reader.get_int64());
            break;
        case fixed64(NestedField::Third):
            limit.perSecond = reader.get_double();
            break;
        default:
            reader.skip();
        }
    }
    return limit;
}

void readFlags(std::uint32_t flags, Digest &digest)
{
    digest.isStopping = (flags & Flag::IsStopping) != 0;
    digest.refusesNewRequests = (flags & Flag::RefusesNewRequests) != 0;
    digest.isReader = (flags & Flag::IsReader) != 0;
    digest.isComplete = (flags & Flag::IsComplete) != 0;
}

/// Reads one field into the digest. Returns whether it is the last one.
bool readField(Reader &reader, Digest &digest)
{
    switch (reader.tag_and_type()) {
    case lengthDelimited(DigestField::Instance):
        digest.instance = reader.get_string();
        break;
    case lengthDelimited(DigestField::Incarnation):
        digest.incarnation = reader.get_string();
        break;
    case lengthDelimited(DigestField::Address):
        digest.address = reader.get_string();
        break;
    case lengthDelimited(DigestField::Zone):
        digest.zone = ZoneId(reader.get_string());
        break;
    case varint(DigestField::Sequence):
        digest.sequence = reader.get_uint64();
        break;
    case varint(DigestField::SentAt):
        digest.sentAt = instantFromMicroseconds(reader.get_sint64());
        break;
    case varint(DigestField::Interval):
        digest.interval = Duration(reader.get_int64());
        break;
    case varint(DigestField::Revision):
        digest.revision = reader.get_uint64();
        break;
    case varint(DigestField::Flags):
        readFlags(reader.get_uint32(), digest);
        break;
    case varint(DigestField::FencingNumber):
        digest.fencingNumber = reader.get_uint64();
        break;
    case lengthDelimited(DigestField::Load):
        digest.endpointLoads.push_back(readLoad(reader.get_message()));
        break;
    case lengthDelimited(DigestField::Use): {
        const Amounts use = readAmounts(reader.get_message());
        digest.accountUses.push_back({.account = AccountHash(use.nameHash),
                                      .requested = use.first,
                                      .admitted = use.second});
        break;
    }
    case lengthDelimited(DigestField::Work): {
        const Amounts work = readAmounts(reader.get_message());
        digest.serviceWork.push_back({.service = ServiceHash(work.nameHash),
                                      .promptTokens = work.first,
                                      .outputTokens = work.second});
        break;
    }
    case lengthDelimited(DigestField::Count):
        digest.usageCounts.push_back(readCount(reader.get_message()));
        break;
    case varint(DigestField::ConfigurationAge):
        digest.configurationAge = Duration(reader.get_int64());
        break;
    case varint(DigestField::EndpointsAge):
        digest.endpointsAge = Duration(reader.get_int64());
        break;
    case lengthDelimited(DigestField::PeerAddress):
        digest.peerAddresses.push_back(reader.get_string());
        break;
    case lengthDelimited(DigestField::PartCrash):
        digest.partCrashes.push_back(readPartCrash(reader.get_message()));
        break;
    case lengthDelimited(DigestField::SoundPart): {
        const LastUse use = readLastUse(reader.get_message());
        digest.soundParts.push_back({.part = use.hash, .age = use.age});
        break;
    }
    case lengthDelimited(DigestField::LiveEndpoint): {
        const LastUse use = readLastUse(reader.get_message());
        digest.liveEndpoints.push_back(
                {.endpoint = EndpointHash(static_cast<std::uint32_t>(use.hash)), .age = use.age});
        break;
    }
    case lengthDelimited(DigestField::EndpointLimit):
        digest.endpointLimits.push_back(readEndpointLimit(reader.get_message()));
        break;
    case varint(DigestField::End):
        reader.skip();
        return true;
    default:
        reader.skip();
    }
    return false;
}

} // namespace

std::string encodeDigest(const Digest &digest)
{
    std::string bytes;
    Writer writer(bytes);
    writer.add_uint32(tag(DigestField::Layout), tag(Layout::Digest));
    writer.add_string(tag(DigestField::Instance), digest.instance);
    writer.add_string(tag(DigestField::Incarnation), digest.incarnation);
    writer.add_string(tag(DigestField::Address), digest.address);
    writer.add_string(tag(DigestField::Zone), digest.zone.value());
    writer.add_uint64(tag(DigestField::Sequence), digest.sequence);
    writer.add_sint64(tag(DigestField::SentAt), toMicroseconds(digest.sentAt));
    writer.add_int64(tag(DigestField::Interval), digest.interval.count());
    writer.add_uint64(tag(DigestField::Revision), digest.revision);
    writer.add_uint32(tag(DigestField::Flags), flagsOf(digest));
    writer.add_uint64(tag(DigestField::FencingNumber), digest.fencingNumber);
    writer.add_int64(tag(DigestField::ConfigurationAge), digest.configurationAge.count());
    writer.add_int64(tag(DigestField::EndpointsAge), digest.endpointsAge.count());
    for (const Digest::EndpointLoad &load : digest.endpointLoads)
        writeLoad(load, Writer(writer, tag(DigestField::Load)));
    for (const Digest::AccountUse &use : digest.accountUses) {
        writeAmounts(use.account.value(), use.requested, use.admitted,
                     Writer(writer, tag(DigestField::Use)));
    }
    for (const Digest::ServiceWork &work : digest.serviceWork) {
        writeAmounts(work.service.value(), work.promptTokens, work.outputTokens,
                     Writer(writer, tag(DigestField::Work)));
    }
    for (const Digest::UsageCount &count : digest.usageCounts)
        writeCount(count, Writer(writer, tag(DigestField::Count)));
    for (const Digest::PartCrash &crash : digest.partCrashes)
        writePartCrash(crash, Writer(writer, tag(DigestField::PartCrash)));
    for (const Digest::SoundPart &sound : digest.soundParts)
        writeLastUse(sound.part, sound.age, Writer(writer, tag(DigestField::SoundPart)));
    for (const Digest::LiveEndpoint &live : digest.liveEndpoints) {
        writeLastUse(live.endpoint.value(), live.age,
                     Writer(writer, tag(DigestField::LiveEndpoint)));
    }
    for (const Digest::EndpointLimit &limit : digest.endpointLimits)
        writeEndpointLimit(limit, Writer(writer, tag(DigestField::EndpointLimit)));
    for (const std::string &address : digest.peerAddresses)
        writer.add_string(tag(DigestField::PeerAddress), address);
    writer.add_bool(tag(DigestField::End), true);
    return bytes;
}

std::optional<Digest> decodeDigest(std::string_view bytes)
{
    try {
        Reader reader(bytes.data(), bytes.size());
        if (!reader.next() || reader.tag_and_type() != varint(DigestField::Layout)
            || reader.get_uint32() != tag(Layout::Digest))
            return std::nullopt;
        Digest digest;
        while (reader.next()) {
            if (readField(reader, digest))
                return digest;
        }
    } catch (const protozero::exception &) {
        return std::nullopt;
    }
    return std::nullopt;
}

} // namespace monsoonsail
