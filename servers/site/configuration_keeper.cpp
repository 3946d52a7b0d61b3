#include "servers/site/configuration_keeper.h"

#include "core/store_error.h"

#include <algorithm>
#include <charconv>
#include <string>
#include <string_view>
#include <utility>

namespace monsoonsail {

namespace {
constexpr std::string_view topic = "keyed.configuration";
constexpr std::string_view key = "config";
/// Delays after calls that have led to nothing. They grow, since such calls cost money too.
constexpr Duration initialDelay = std::chrono::milliseconds(250);
constexpr Duration maxDelay = std::chrono::seconds(5);
} // namespace

ConfigurationKeeper::ConfigurationKeeper(ServingContext &context, ConfigurationFeed &feed,
                                         RecordLog &log, std::function<Instant()> now)
    : m_context(context)
    , m_feed(feed)
    , m_log(log)
    , m_now(std::move(now))
{ }

void ConfigurationKeeper::advance(bool isReader)
{
    m_isReader = isReader;
    // A store of era 0 has never lost a configuration.
    if (m_log.currentEra().value_or(0) == 0)
        return;
    const Instant now = m_now();
    const bool isDue = m_context.isConfigurationOutdated(now) || mustKeep();
    if (!isDue)
        m_looksInVain = 0;
    else if (!m_isCallPending && m_nextCallAt <= now)
        look();
}

bool ConfigurationKeeper::mustKeep() const
{
    // What this instance has in force may be of the copy.
    const bool isOfCopy = m_context.configurationCertainFrom > m_now()
            || m_context.isConfigurationOutdated(m_now());
    if (!m_isReader || !m_context.configuration || isOfCopy)
        return false;
    const bool isLater = m_context.configuration->revision() > m_kept.revision;
    return m_kept.era != m_log.currentEra() || (m_context.isStoreBehind && isLater);
}

void ConfigurationKeeper::look()
{
    m_isCallPending = true;
    m_nextCallAt = m_now() + std::min(initialDelay * ++m_looksInVain, maxDelay);
    m_log.readNewest(topic, [this](std::error_code error, const LogRecords &records) {
        handleLook(error, records);
    });
}

void ConfigurationKeeper::handleLook(std::error_code error, const LogRecords &records)
{
    m_isCallPending = false;
    if (error) {
        logFailure(error);
        return;
    }
    m_kept = {};
    for (const LogRecord &record : records.records) {
        if (record.key == key)
            apply(record);
    }
    if (m_kept.era == LogPosition::of(records.end).era)
        m_feed.onKeptApplied();
    if (mustKeep())
        keep(records.end);
}

// A record has the era in which it was written, a line feed, and the configuration.
void ConfigurationKeeper::apply(const LogRecord &record)
{
    StoreEra era = 0;
    const char *const valueEnd = record.value.data() + record.value.size();
    const auto [end, error] = std::from_chars(record.value.data(), valueEnd, era);
    if (error != std::errc() || end == valueEnd || *end != '\n') {
        logFailure(StoreError::Malformed);
        return;
    }
    const Revision revision = m_feed.applyIfNewer(
            {.offset = record.offset, .key = record.key, .value = std::string(end + 1, valueEnd)},
            "keeper", m_now());
    m_kept = {.revision = revision, .era = revision == 0 ? 0 : era};
}

// On condition that nothing was kept since the look, so that an older one never replaces a later.
void ConfigurationKeeper::keep(LogOffset end)
{
    m_isCallPending = true;
    const Kept kept{.revision = m_context.configuration->revision(),
                    .era = LogPosition::of(end).era};
    m_log.append(
            topic, key, std::to_string(kept.era) + '\n' + m_feed.text(), end,
            [this, kept](std::error_code error, LogOffset /*offset*/) { handleKept(error, kept); });
}

void ConfigurationKeeper::handleKept(std::error_code error, const Kept &kept)
{
    m_isCallPending = false;
    if (error) {
        logFailure(error);
        return;
    }
    m_kept = kept;
    m_context.log.write(LogLevel::Info, "configuration-kept", {},
                        {{"revision", static_cast<std::int64_t>(kept.revision)},
                         {"era", static_cast<std::int64_t>(kept.era)}});
}

void ConfigurationKeeper::logFailure(std::error_code error)
{
    m_context.log.write(LogLevel::Warning, "configuration-keeper-failed", {},
                        {{"error", error.message()}});
}

} // namespace monsoonsail
