#include "drivers/mesh/digest_codec.h"

#include "drivers/mesh/digest_records.h"
#include "drivers/mesh/rollout_records.h"
#include "drivers/mesh/wire_fields.h"

#include <cstddef>
#include <utility>

namespace monsoonsail {

namespace {

/// Limits on the records that are read from a digest.
constexpr std::size_t maxRollouts = 64;
constexpr std::size_t maxVersionEvidence = 256;

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
    ListEnd = 25,
    ListChecksum = 26,
    PartTrial = 27,
    Rollout = 28,
    VersionEvidence = 29,
    EndpointSpeed = 30,
};

enum Flag : std::uint32_t {
    IsStopping = 1,
    RefusesNewRequests = 2,
    IsReader = 4,
    IsComplete = 8,
    IsStoreBehind = 16,
};

using Writer = protozero::pbf_writer;
using Reader = protozero::pbf_message<DigestField>;

std::uint32_t flagsOf(const Digest &digest)
{
    return (digest.isStopping ? Flag::IsStopping : 0U)
            | (digest.refusesNewRequests ? Flag::RefusesNewRequests : 0U)
            | (digest.isStoreBehind ? Flag::IsStoreBehind : 0U)
            | (digest.isReader ? Flag::IsReader : 0U) | (digest.isComplete ? Flag::IsComplete : 0U);
}

void readFlags(std::uint32_t flags, Digest &digest)
{
    digest.isStopping = (flags & Flag::IsStopping) != 0;
    digest.refusesNewRequests = (flags & Flag::RefusesNewRequests) != 0;
    digest.isReader = (flags & Flag::IsReader) != 0;
    digest.isStoreBehind = (flags & Flag::IsStoreBehind) != 0;
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
    case lengthDelimited(DigestField::Use):
        digest.accountUses.push_back(readAccountUse(reader.get_message()));
        break;
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
    case lengthDelimited(DigestField::PartTrial): {
        const LastUse use = readLastUse(reader.get_message());
        digest.partTrials.push_back({.part = use.hash, .age = use.age});
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
    case lengthDelimited(DigestField::Rollout):
        if (auto state = readRollout(reader.get_message());
            state && digest.rollouts.size() < maxRollouts)
            digest.rollouts.push_back(std::move(*state));
        break;
    case lengthDelimited(DigestField::VersionEvidence):
        if (auto evidence = readVersionEvidence(reader.get_message());
            evidence && digest.versionEvidence.size() < maxVersionEvidence)
            digest.versionEvidence.push_back(std::move(*evidence));
        break;
    case lengthDelimited(DigestField::EndpointSpeed):
        digest.endpointSpeeds.push_back(readEndpointSpeed(reader.get_message()));
        break;
    case varint(DigestField::ListEnd):
        digest.listEnd = reader.get_uint64();
        break;
    case fixed64(DigestField::ListChecksum):
        digest.listChecksum = reader.get_fixed64();
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
    if (digest.listEnd != 0) {
        writer.add_uint64(tag(DigestField::ListEnd), digest.listEnd);
        writer.add_fixed64(tag(DigestField::ListChecksum), digest.listChecksum);
    }
    for (const Digest::EndpointLoad &load : digest.endpointLoads)
        writeLoad(load, Writer(writer, tag(DigestField::Load)));
    for (const Digest::AccountUse &use : digest.accountUses)
        writeAccountUse(use, Writer(writer, tag(DigestField::Use)));
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
    for (const Digest::PartTrial &trial : digest.partTrials)
        writeLastUse(trial.part, trial.age, Writer(writer, tag(DigestField::PartTrial)));
    for (const Digest::LiveEndpoint &live : digest.liveEndpoints) {
        writeLastUse(live.endpoint.value(), live.age,
                     Writer(writer, tag(DigestField::LiveEndpoint)));
    }
    for (const Digest::EndpointLimit &limit : digest.endpointLimits)
        writeEndpointLimit(limit, Writer(writer, tag(DigestField::EndpointLimit)));
    for (const RolloutState &state : digest.rollouts)
        writeRollout(state, Writer(writer, tag(DigestField::Rollout)));
    for (const VersionEvidence &evidence : digest.versionEvidence)
        writeVersionEvidence(evidence, Writer(writer, tag(DigestField::VersionEvidence)));
    for (const Digest::EndpointSpeed &speed : digest.endpointSpeeds)
        writeEndpointSpeed(speed, Writer(writer, tag(DigestField::EndpointSpeed)));
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
