#include "servers/versions/version_roster.h"

#include "core/hash.h"
#include "core/json_fields.h"
#include "core/json_text.h"
#include "core/store_error.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace monsoonsail {

namespace {

constexpr std::string_view topic = "keyed.software";
/// Time from a failed call to the next one; doubles up to the second one.
constexpr Duration minRetryInterval = std::chrono::milliseconds(200);
constexpr Duration maxRetryInterval = std::chrono::milliseconds(800);
/// Instances that don't read the store for the others add a version this much later, spread over
/// the second time: one of the readers has usually done so.
constexpr Duration writeDelay = std::chrono::milliseconds(100);
constexpr Duration writeSpread = std::chrono::milliseconds(300);
/// Longer than a stream lasts, plus the difference of clocks that have jumped.
constexpr Duration doubtTime = std::chrono::seconds(30);
/// Time without a known endpoint after which no stream of a version is in progress any more.
constexpr Duration retirementDelay = std::chrono::seconds(30);
/// A version that has been absent for so long may have been retired since the last read. Leaves
/// half of the delay for what instances learn later than others.
constexpr Duration rereadDelay = retirementDelay / 2;
/// Time from the first read until an instance that can't add the listed versions becomes ready, as
/// it can serve requests that are not resumable.
constexpr Duration maxSettleTime = std::chrono::seconds(1);
/// An instance that has been held up for longer knows of old absences only.
constexpr Duration maxAdvancePause = std::chrono::seconds(2);
/// Five thousand years, so that differences of instants don't overflow.
constexpr std::uint64_t maxTimeUs = 160'000'000'000'000'000;

std::string joinNames(const std::set<SoftwareVersion> &versions)
{
    std::string text;
    for (const SoftwareVersion &version : versions) {
        text += text.empty() ? "" : ",";
        text += version.view();
    }
    return text;
}

} // namespace

VersionRoster::VersionRoster(const std::string &instance, const EndpointRegistry &endpoints,
                             RecordLog &log, std::function<Instant()> now, DecisionLog &decisions)
    : m_instance(instance)
    , m_endpoints(endpoints)
    , m_log(log)
    , m_now(std::move(now))
    , m_decisions(decisions)
    , m_retryInterval(minRetryInterval)
{ }

void VersionRoster::advance(bool isReader, Duration clockCorrection)
{
    const Instant now = m_now();
    m_isReader = isReader;
    m_clockCorrection = clockCorrection;
    if (m_advancedAt && *m_advancedAt + maxAdvancePause < now)
        m_absentSince.clear();
    m_advancedAt = now;
    observeList(now);
    if (m_end && !m_settleDeadline)
        m_settleDeadline = now + maxSettleTime;
    m_isSettled = m_isSettled || (m_end && (containsListed() || *m_settleDeadline <= now));
    if (m_end && !isOutdated() && !serviceToWrite(now)) {
        m_nextWriteAt.reset();
        m_retryInterval = minRetryInterval;
        return;
    }
    if (!m_nextWriteAt) {
        const bool waits = m_end && !isReader && m_isSettled;
        const auto spread =
                Duration(stableHash(m_instance) % static_cast<std::uint64_t>(writeSpread.count()));
        m_nextWriteAt = waits ? now + writeDelay + spread : now;
    }
    if (m_isWriting || m_isReading || now < *m_nextWriteAt)
        return;
    m_nextWriteAt = now + m_retryInterval;
    m_retryInterval = std::min(2 * m_retryInterval, maxRetryInterval);
    // Another instance may have added it meanwhile.
    read([this](std::error_code error) {
        const auto service = error ? std::nullopt : serviceToWrite(m_now());
        if (!service || m_isWriting)
            return;
        if (const auto versions = wantedVersions(*service, m_now()))
            write(*service, *versions);
    });
}

bool VersionRoster::isOutdated() const
{
    return m_end && m_log.currentEra().value_or(0) > LogPosition::of(*m_end).era;
}

void VersionRoster::observeList(Instant now)
{
    m_listed.clear();
    for (const auto &[id, endpoint] : m_endpoints.all()) {
        if (!endpoint.listing.software.isEmpty() && !endpoint.listing.service.isEmpty())
            m_listed[endpoint.listing.service].insert(endpoint.listing.software);
    }
    for (auto &known : m_entries) {
        const ServiceId &service = known.first;
        auto &absentSince = m_absentSince[service];
        std::erase_if(known.second.versions, [&](const SoftwareVersion &version) {
            if (!m_listed[service].contains(version)) {
                absentSince.try_emplace(version, now);
                return false;
            }
            const bool isForgotten = mayBeRetired(service, version);
            absentSince.erase(version);
            return isForgotten;
        });
    }
}

void VersionRoster::read(ReadDone done)
{
    m_waiting.push_back(std::move(done));
    if (!m_isReading)
        startRead();
}

void VersionRoster::startRead()
{
    m_isReading = true;
    m_served = std::exchange(m_waiting, {});
    m_log.readNewest(topic, [this](std::error_code error, const LogRecords &records) {
        handleRead(error, records);
    });
}

void VersionRoster::handleRead(std::error_code error, const LogRecords &records)
{
    if (!error) {
        m_end = records.end;
        const std::map<ServiceId, Entry> earlier = std::exchange(m_entries, {});
        for (const LogRecord &record : records.records) {
            const nlohmann::json document = parseJson(record.value);
            const auto era = uintField(document, "era");
            const auto incompleteUntilUs = uintField(document, "incomplete_until_us");
            const ServiceId service(record.key);
            Entry &entry = m_entries[service];
            entry.offset = record.offset;
            // Whoever wrote it may know of endpoints that have come back.
            const auto known = earlier.find(service);
            if (known == earlier.end() || known->second.offset != record.offset)
                m_absentSince.erase(service);
            for (const nlohmann::json &name : arrayField(document, "versions")) {
                if (name.is_string())
                    entry.versions.insert(SoftwareVersion(name.get<std::string>()));
            }
            const bool isReadable = era && *era <= LogPosition::maxEra && incompleteUntilUs
                    && *incompleteUntilUs <= maxTimeUs;
            // What can't be read is replaced like a record of another era.
            entry.era = isReadable ? static_cast<StoreEra>(*era) : LogPosition::maxEra;
            if (isReadable) {
                entry.incompleteUntil =
                        instantFromMicroseconds(static_cast<std::int64_t>(*incompleteUntilUs));
                continue;
            }
            m_decisions.write(LogLevel::Warning, "software-record-unreadable", {},
                              {{"service", record.key}});
        }
    }
    m_isReading = false;
    for (const ReadDone &done : std::exchange(m_served, {}))
        done(error);
    if (!m_waiting.empty() && !m_isReading)
        startRead();
}

bool VersionRoster::contains(const ServiceId &service, const SoftwareVersion &software) const
{
    const auto entry = m_entries.find(service);
    return entry != m_entries.end() && entry->second.versions.contains(software)
            && !mayBeRetired(service, software);
}

bool VersionRoster::containsListed() const
{
    return std::ranges::all_of(m_listed, [this](const auto &listed) {
        return std::ranges::all_of(listed.second, [&](const SoftwareVersion &version) {
            return contains(listed.first, version);
        });
    });
}

bool VersionRoster::mayBeRetired(const ServiceId &service, const SoftwareVersion &software) const
{
    const auto absent = m_absentSince.find(service);
    if (absent == m_absentSince.end())
        return false;
    const auto since = absent->second.find(software);
    return since != absent->second.end() && since->second + rereadDelay <= m_now();
}

bool VersionRoster::isMixed(const ServiceId &service) const
{
    const auto entry = m_entries.find(service);
    if (entry != m_entries.end() && !onlyVersion(service))
        return true;
    const auto listed = m_listed.find(service);
    if (listed == m_listed.end())
        return false;
    const bool isListKnown = entry != m_entries.end()
            && std::ranges::includes(entry->second.versions, listed->second);
    return listed->second.size() > 1 || !isListKnown;
}

std::optional<SoftwareVersion> VersionRoster::onlyVersion(const ServiceId &service) const
{
    const auto found = m_entries.find(service);
    if (found == m_entries.end())
        return std::nullopt;
    const Entry &entry = found->second;
    if (!isCurrent(entry) || entry.versions.size() != 1
        || entry.incompleteUntil > m_now() + m_clockCorrection)
        return std::nullopt;
    return *entry.versions.begin();
}

bool VersionRoster::isCurrent(const Entry &entry) const
{
    return m_end && entry.era == LogPosition::of(*m_end).era;
}

std::optional<VersionRoster::Versions> VersionRoster::wantedVersions(const ServiceId &service,
                                                                     Instant now) const
{
    const auto listed = m_listed.find(service);
    if (listed == m_listed.end() || listed->second.empty())
        return std::nullopt;
    const auto entry = m_entries.find(service);
    if (entry == m_entries.end())
        return listed->second;
    Versions wanted = entry->second.versions;
    const auto absent = m_absentSince.find(service);
    if (m_isReader && absent != m_absentSince.end()) {
        std::erase_if(wanted, [&](const SoftwareVersion &version) {
            const auto since = absent->second.find(version);
            return since != absent->second.end() && since->second + retirementDelay <= now;
        });
    }
    wanted.insert(listed->second.begin(), listed->second.end());
    if (wanted == entry->second.versions && isCurrent(entry->second))
        return std::nullopt;
    return wanted;
}

std::optional<ServiceId> VersionRoster::serviceToWrite(Instant now) const
{
    for (const auto &[service, versions] : m_listed) {
        if (wantedVersions(service, now))
            return service;
    }
    return std::nullopt;
}

void VersionRoster::write(const ServiceId &service, const Versions &versions)
{
    const LogOffset end = *m_end;
    const StoreEra era = LogPosition::of(end).era;
    const auto known = m_entries.find(service);
    Entry entry{.versions = versions, .era = era};
    if (known != m_entries.end() && isCurrent(known->second))
        entry.incompleteUntil = known->second.incompleteUntil;
    else if (known != m_entries.end() || era > 0)
        entry.incompleteUntil = m_now() + m_clockCorrection + doubtTime;
    nlohmann::json names = nlohmann::json::array();
    for (const SoftwareVersion &version : versions)
        names.push_back(version.value());
    const nlohmann::json document{
            {"versions", names},
            {"era", era},
            {"incomplete_until_us",
             std::max<std::int64_t>(0, toMicroseconds(entry.incompleteUntil))}};
    m_isWriting = true;
    m_log.append(topic, service.view(), toJsonText(document), end,
                 [this, service, entry, end](std::error_code error, LogOffset offset) {
                     m_isWriting = false;
                     if (error == StoreError::Conflict)
                         return;
                     if (error) {
                         m_decisions.write(LogLevel::Warning, "software-not-recorded", {},
                                           {{"service", service.view()},
                                            {"versions", joinNames(entry.versions)},
                                            {"error", error.message()}});
                         return;
                     }
                     m_decisions.write(LogLevel::Info, "software-recorded", {},
                                       {{"service", service.view()},
                                        {"versions", joinNames(entry.versions)}});
                     if (m_end != end)
                         return;
                     m_entries[service] = entry;
                     m_entries[service].offset = offset;
                     m_absentSince.erase(service);
                     m_end = end + 1;
                     m_nextWriteAt = m_now();
                 });
}

} // namespace monsoonsail
