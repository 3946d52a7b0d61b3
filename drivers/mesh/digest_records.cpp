#include "drivers/mesh/digest_records.h"

#include "drivers/mesh/wire_fields.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace monsoonsail {

using Writer = protozero::pbf_writer;

namespace {

/// Urgencies and amounts that are read of one account.
constexpr std::size_t maxUrgencyValues = 32;

std::uint64_t rounded(double amount)
{
    return amount <= 0 ? 0 : static_cast<std::uint64_t>(std::llround(amount));
}

} // namespace

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

void writeAmounts(std::uint64_t nameHash, double first, double second, Writer writer)
{
    writer.add_fixed64(tag(NestedField::First), nameHash);
    writer.add_uint64(tag(NestedField::Second), rounded(first));
    writer.add_uint64(tag(NestedField::Third), rounded(second));
}

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

void writeAccountUse(const Digest::AccountUse &use, Writer writer)
{
    writer.add_fixed64(tag(NestedField::First), use.account.value());
    writer.add_uint64(tag(NestedField::Second), rounded(use.requested));
    writer.add_uint64(tag(NestedField::Third), rounded(use.admitted));
    if (use.byUrgency.empty())
        return;
    // Urgencies and amounts by turns. The last amount is what the others leave of the total.
    std::vector<std::uint64_t> values;
    for (const Digest::UrgencyUse &part : use.byUrgency) {
        values.push_back(part.urgency);
        values.push_back(rounded(part.requested));
    }
    values.pop_back();
    writer.add_packed_uint64(tag(NestedField::Fourth), values.begin(), values.end());
}

Digest::AccountUse readAccountUse(NestedReader reader)
{
    Digest::AccountUse use;
    std::vector<std::uint64_t> values;
    while (reader.next()) {
        switch (reader.tag_and_type()) {
        case fixed64(NestedField::First):
            use.account = AccountHash(reader.get_fixed64());
            break;
        case varint(NestedField::Second):
            use.requested = static_cast<double>(reader.get_uint64());
            break;
        case varint(NestedField::Third):
            use.admitted = static_cast<double>(reader.get_uint64());
            break;
        case lengthDelimited(NestedField::Fourth):
            for (const std::uint64_t value : reader.get_packed_uint64())
                values.push_back(value);
            break;
        default:
            reader.skip();
        }
    }
    double unlisted = use.requested;
    for (std::size_t index = 0; index < std::min(values.size(), maxUrgencyValues); index += 2) {
        const bool isLast = index + 1 >= values.size();
        const double amount = isLast ? unlisted : static_cast<double>(values.at(index + 1));
        use.byUrgency.push_back(
                {.urgency = static_cast<unsigned>(values.at(index)), .requested = amount});
        unlisted = std::max(0.0, unlisted - amount);
    }
    return use;
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

void writeLastUse(std::uint64_t hash, Duration age, Writer writer)
{
    writer.add_fixed64(tag(NestedField::First), hash);
    writer.add_int64(tag(NestedField::Second), age.count());
}

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

} // namespace monsoonsail
