#include "drivers/mesh/digest_codec.h"

#include <nlohmann/json.hpp>

namespace monsoonsail {

namespace {

using nlohmann::json;

/// Changes with every change of the layout; digests of another layout are dropped.
constexpr int layoutVersion = 3;

json encodeNews(const Digest::EndpointNews &news)
{
    const EndpointListing &listing = news.listing;
    return {listing.instance,
            listing.startedMs,
            listing.sequence,
            listing.service.value(),
            listing.address,
            listing.zone.value(),
            listing.slots,
            listing.isLeaving,
            listing.isReclaimable,
            listing.leavesAt ? toMicroseconds(*listing.leavesAt) : std::int64_t{0},
            toMicroseconds(listing.coldUntil),
            static_cast<int>(news.state),
            listing.position,
            toMicroseconds(news.usableUntil)};
}

Digest::EndpointNews decodeNews(const json &row)
{
    Digest::EndpointNews news;
    EndpointListing &listing = news.listing;
    listing.instance = row.at(0).get<std::string>();
    listing.startedMs = row.at(1).get<std::int64_t>();
    listing.sequence = row.at(2).get<std::uint64_t>();
    listing.service = ServiceId(row.at(3).get<std::string>());
    listing.address = row.at(4).get<std::string>();
    listing.zone = ZoneId(row.at(5).get<std::string>());
    listing.slots = row.at(6).get<unsigned>();
    listing.isLeaving = row.at(7).get<bool>();
    listing.isReclaimable = row.at(8).get<bool>();
    if (const auto leavesAt = row.at(9).get<std::int64_t>(); leavesAt != 0)
        listing.leavesAt = instantFromMicroseconds(leavesAt);
    listing.coldUntil = instantFromMicroseconds(row.at(10).get<std::int64_t>());
    news.state = static_cast<EndpointState>(row.at(11).get<int>());
    listing.position = row.at(12).get<std::uint64_t>();
    news.usableUntil = instantFromMicroseconds(row.at(13).get<std::int64_t>());
    return news;
}

} // namespace

// Rows without member names keep a digest in few packets.
std::string encodeDigest(const Digest &digest)
{
    json loads = json::array();
    for (const Digest::EndpointLoad &load : digest.loads) {
        loads.push_back({load.endpoint.value(), load.running, load.promptTokens, load.contextTokens,
                         load.isSuspect});
    }
    json uses = json::array();
    for (const Digest::AccountUse &use : digest.uses)
        uses.push_back({use.account.value(), use.asked, use.admitted});
    json news = json::array();
    for (const Digest::EndpointNews &item : digest.news)
        news.push_back(encodeNews(item));
    json work = json::array();
    for (const Digest::ServiceWork &item : digest.work)
        work.push_back({item.service.value(), item.promptTokens, item.outputTokens});
    json counts = json::array();
    for (const Digest::UsageCount &count : digest.counts)
        counts.push_back({count.window, count.account.value(), count.requests});
    const json document{layoutVersion,
                        digest.instance,
                        digest.incarnation,
                        digest.address,
                        digest.zone.value(),
                        digest.sequence,
                        toMicroseconds(digest.sentAt),
                        digest.revision,
                        digest.isStopping,
                        digest.fencingNumber,
                        loads,
                        uses,
                        counts,
                        news,
                        digest.neighbours,
                        work,
                        digest.configurationAge.count(),
                        digest.endpointsAge.count(),
                        digest.isReader,
                        digest.interval.count(),
                        digest.refusesNew};
    std::string bytes;
    json::to_msgpack(document, nlohmann::detail::output_adapter<char>(bytes));
    return bytes;
}

std::optional<Digest> decodeDigest(std::string_view bytes)
{
    try {
        const json document = json::from_msgpack(bytes.begin(), bytes.end());
        if (document.at(0).get<int>() != layoutVersion)
            return std::nullopt;
        Digest digest{.instance = document.at(1).get<std::string>(),
                      .incarnation = document.at(2).get<std::string>(),
                      .address = document.at(3).get<std::string>(),
                      .zone = ZoneId(document.at(4).get<std::string>()),
                      .sequence = document.at(5).get<std::uint64_t>(),
                      .sentAt = instantFromMicroseconds(document.at(6).get<std::int64_t>()),
                      .revision = document.at(7).get<Revision>(),
                      .isStopping = document.at(8).get<bool>(),
                      .fencingNumber = document.at(9).get<std::uint64_t>()};
        for (const json &load : document.at(10)) {
            digest.loads.push_back({.endpoint = EndpointId(load.at(0).get<std::string>()),
                                    .running = load.at(1).get<std::uint32_t>(),
                                    .promptTokens = load.at(2).get<std::uint32_t>(),
                                    .contextTokens = load.at(3).get<std::uint32_t>(),
                                    .isSuspect = load.at(4).get<bool>()});
        }
        for (const json &use : document.at(11)) {
            digest.uses.push_back({.account = AccountId(use.at(0).get<std::string>()),
                                   .asked = use.at(1).get<double>(),
                                   .admitted = use.at(2).get<double>()});
        }
        for (const json &count : document.at(12)) {
            digest.counts.push_back({.window = count.at(0).get<std::uint64_t>(),
                                     .account = AccountId(count.at(1).get<std::string>()),
                                     .requests = count.at(2).get<std::uint32_t>()});
        }
        for (const json &row : document.at(13))
            digest.news.push_back(decodeNews(row));
        digest.neighbours = document.at(14).get<std::vector<std::string>>();
        digest.configurationAge = Duration(document.at(16).get<std::int64_t>());
        digest.endpointsAge = Duration(document.at(17).get<std::int64_t>());
        digest.isReader = document.at(18).get<bool>();
        digest.interval = Duration(document.at(19).get<std::int64_t>());
        digest.refusesNew = document.at(20).get<bool>();
        for (const json &item : document.at(15)) {
            digest.work.push_back({.service = ServiceId(item.at(0).get<std::string>()),
                                   .promptTokens = item.at(1).get<double>(),
                                   .outputTokens = item.at(2).get<double>()});
        }
        return digest;
    } catch (const json::exception &) {
        return std::nullopt;
    }
}

} // namespace monsoonsail
