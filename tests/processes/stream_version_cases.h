#pragma once

#include "tests/processes/versioned_site.h"

#include <span>
#include <string>

namespace monsoonsail {

/// Trouble in the middle of streams.
struct StreamVersionCase
{
    std::string name;
    /// Starts the site and its callers, and plays the trouble.
    void (*play)(VersionedSite &site) = nullptr;
    /// Whether most take-ups of streams of v1 go on: two engines of it serve, and the store is
    /// sound.
    bool oldStreamsGoOn = false;
    bool newStreamsGoOn = false;
    /// Whether take-ups of streams of v1 are refused since no engine has it any more.
    bool isOldVersionGone = false;
};

/// Engines of one version end, fall silent, break off or leave.
std::span<const StreamVersionCase> troubledEngineCases();
/// Callers take streams up while instances live.
std::span<const StreamVersionCase> takeUpCases();
/// Engines of another version join while an instance stands still or is cut off, and streams are
/// then taken up there.
std::span<const StreamVersionCase> outOfStepCases();
/// All instances are killed and started again.
std::span<const StreamVersionCase> lostInstancesCases();
/// The same while the store is in trouble.
std::span<const StreamVersionCase> lostStoreCases();
/// All instances are killed before engines of one version.
std::span<const StreamVersionCase> onlyVersionCases();

} // namespace monsoonsail
