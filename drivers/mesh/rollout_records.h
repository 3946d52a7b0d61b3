#pragma once

#include "drivers/mesh/digest_records.h"
#include "servers/rollout/rollout_state.h"
#include "servers/rollout/version_evidence.h"

#include <protozero/pbf_writer.hpp>

#include <optional>

// The records of roll-outs in a digest, each of which is a nested message on the wire. Records that
// are incomplete, or longer than any that is written, are not read.

namespace monsoonsail {

/// Numbers of the fields of a roll-out's state on the wire.
enum class RolloutField : protozero::pbf_tag_type {
    Service = 1,
    Target = 2,
    Phase = 3,
    Order = 4,
    Change = 5,
    OrderedAt = 6,
    DueAt = 7,
    OldVersion = 8,
};

/// Numbers of the fields of evidence about a version on the wire.
enum class EvidenceField : protozero::pbf_tag_type {
    Service = 1,
    Software = 2,
    Route = 3,
    Order = 4,
    Counts = 5, ///< Answers, failures and times; trailing zeros are left out.
};

void writeRollout(const RolloutState &state, protozero::pbf_writer writer);
std::optional<RolloutState> readRollout(protozero::pbf_message<RolloutField> reader);
void writeVersionEvidence(const VersionEvidence &evidence, protozero::pbf_writer writer);
std::optional<VersionEvidence> readVersionEvidence(protozero::pbf_message<EvidenceField> reader);

} // namespace monsoonsail
