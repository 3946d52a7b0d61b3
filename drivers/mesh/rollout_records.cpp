#include "drivers/mesh/rollout_records.h"

#include "drivers/mesh/wire_fields.h"

#include <algorithm>
#include <array>
#include <cstddef>
#include <string>

namespace monsoonsail {

namespace {

using Writer = protozero::pbf_writer;

constexpr std::size_t maxNameBytes = 128;
constexpr std::size_t maxOldVersions = 16;
/// Answers and failures, before the times.
constexpr std::size_t leadingCounts = 2;

bool isPhase(std::uint32_t value)
{
    return value >= static_cast<std::uint32_t>(RolloutPhase::Trial)
            && value <= static_cast<std::uint32_t>(RolloutPhase::RolledBack);
}

bool isName(const std::string &name)
{
    return !name.empty() && name.size() <= maxNameBytes;
}

using Counts = std::array<std::uint32_t, leadingCounts + VersionEvidence::bucketCount>;

void readCounts(protozero::iterator_range<protozero::pbf_reader::const_uint32_iterator> values,
                VersionEvidence &evidence)
{
    Counts counts{};
    std::size_t index = 0;
    for (const std::uint32_t value : values) {
        if (index < counts.size())
            counts.at(index++) = value;
    }
    evidence.answers = counts[0];
    evidence.failures = std::min(counts[1], counts[0]);
    std::copy(counts.begin() + leadingCounts, counts.end(), evidence.times.begin());
}

} // namespace

void writeRollout(const RolloutState &state, Writer writer)
{
    writer.add_string(tag(RolloutField::Service), state.service.value());
    writer.add_string(tag(RolloutField::Target), state.target.value());
    writer.add_uint32(tag(RolloutField::Phase), static_cast<std::uint32_t>(state.phase));
    writer.add_uint64(tag(RolloutField::Order), state.order);
    writer.add_uint32(tag(RolloutField::Change), state.change);
    writer.add_sint64(tag(RolloutField::OrderedAt), toMicroseconds(state.orderedAt));
    writer.add_sint64(tag(RolloutField::DueAt), toMicroseconds(state.dueAt));
    for (const SoftwareVersion &old : state.oldVersions)
        writer.add_string(tag(RolloutField::OldVersion), old.value());
}

std::optional<RolloutState> readRollout(protozero::pbf_message<RolloutField> reader)
{
    RolloutState state;
    std::uint32_t phase = 0;
    while (reader.next()) {
        switch (reader.tag_and_type()) {
        case lengthDelimited(RolloutField::Service):
            state.service = ServiceId(reader.get_string());
            break;
        case lengthDelimited(RolloutField::Target):
            state.target = SoftwareVersion(reader.get_string());
            break;
        case varint(RolloutField::Phase):
            phase = reader.get_uint32();
            break;
        case varint(RolloutField::Order):
            state.order = reader.get_uint64();
            break;
        case varint(RolloutField::Change):
            state.change = reader.get_uint32();
            break;
        case varint(RolloutField::OrderedAt):
            state.orderedAt = instantFromMicroseconds(reader.get_sint64());
            break;
        case varint(RolloutField::DueAt):
            state.dueAt = instantFromMicroseconds(reader.get_sint64());
            break;
        case lengthDelimited(RolloutField::OldVersion): {
            std::string name = reader.get_string();
            if (name.size() > maxNameBytes || state.oldVersions.size() >= maxOldVersions)
                return std::nullopt;
            state.oldVersions.emplace_back(std::move(name));
            break;
        }
        default:
            reader.skip();
        }
    }
    // The version may be empty: workers of a service that names none have that one.
    if (!isPhase(phase) || !isName(state.service.value())
        || state.target.value().size() > maxNameBytes)
        return std::nullopt;
    state.phase = static_cast<RolloutPhase>(phase);
    return state;
}

void writeVersionEvidence(const VersionEvidence &evidence, Writer writer)
{
    writer.add_fixed64(tag(EvidenceField::Service), evidence.service.value());
    writer.add_string(tag(EvidenceField::Software), evidence.software.value());
    writer.add_fixed64(tag(EvidenceField::Route), evidence.routeHash);
    writer.add_uint64(tag(EvidenceField::Order), evidence.order);
    Counts counts{evidence.answers, evidence.failures};
    std::ranges::copy(evidence.times, counts.begin() + leadingCounts);
    const auto last = std::find_if(counts.rbegin(), counts.rend(),
                                   [](std::uint32_t count) { return count != 0; });
    writer.add_packed_uint32(tag(EvidenceField::Counts), counts.begin(), last.base());
}

std::optional<VersionEvidence> readVersionEvidence(protozero::pbf_message<EvidenceField> reader)
{
    VersionEvidence evidence;
    while (reader.next()) {
        switch (reader.tag_and_type()) {
        case fixed64(EvidenceField::Service):
            evidence.service = ServiceHash(reader.get_fixed64());
            break;
        case lengthDelimited(EvidenceField::Software):
            evidence.software = SoftwareVersion(reader.get_string());
            break;
        case fixed64(EvidenceField::Route):
            evidence.routeHash = reader.get_fixed64();
            break;
        case varint(EvidenceField::Order):
            evidence.order = reader.get_uint64();
            break;
        case lengthDelimited(EvidenceField::Counts):
            readCounts(reader.get_packed_uint32(), evidence);
            break;
        default:
            reader.skip();
        }
    }
    if (evidence.software.value().size() > maxNameBytes)
        return std::nullopt;
    return evidence;
}

} // namespace monsoonsail
