#pragma once

#include "core/instant.h"
#include "servers/endpoints/endpoint_registry.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace monsoonsail {

/// Compares the known endpoints with those that the readers of the store report in their digests,
/// so that an instance notices that it has missed a change.
class ListComparison
{
public:
    /// What the digest of a reader says about the list of endpoints.
    struct Report
    {
        std::uint64_t listEnd = 0;  ///< End of the part of the list's log that it has read.
        std::uint64_t checksum = 0; ///< See EndpointRegistry::listChecksum().
    };
    /// A difference that was still there when the reader's next report was due.
    struct Difference
    {
        std::string reader;
        Report report;
        Instant since;
    };

    /// `endpoints` must outlive the object.
    explicit ListComparison(const EndpointRegistry &endpoints)
        : m_endpoints(endpoints)
    { }

    /// `nextReportAt` is when the next report of the reader is due.
    void recordReport(const std::string &reader, const Report &report, Instant nextReportAt,
                      Instant now);
    /// Compares again. Call it after endpoints have changed.
    void update(Instant now);
    /// Whether the endpoints are the same as those in the newest report of the reader, or it has
    /// sent none.
    bool agreesWith(std::string_view reader) const;
    /// Returns a difference that has lasted, for `delay` beyond the reader's next report, once for
    /// each time that the list should be read for it.
    std::optional<Difference> takeLasting(Instant now, Duration delay = {});
    void clear() { m_readers.clear(); }

private:
    struct Reader
    {
        Report report;
        Instant nextReportAt;
        std::optional<Instant> differsSince;
        Instant lastingFrom; ///< When the present difference counts as lasting.
        /// Difference of the checksums for which the list was last to be read, and when it is to be
        /// read again if it is still the same.
        std::uint64_t handledDifference = 0;
        Instant repeatAt;
        unsigned repeats = 0;
    };

    bool agrees(const Reader &reader) const;
    std::uint64_t difference(const Reader &reader) const
    {
        return reader.report.checksum - m_endpoints.listChecksum();
    }

    const EndpointRegistry &m_endpoints;
    std::map<std::string, Reader, std::less<>> m_readers;
};

} // namespace monsoonsail
