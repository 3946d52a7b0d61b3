#include "servers/quarantine/part_verdict.h"

namespace monsoonsail {

std::string alternativeHashes(const PartVerdict &verdict)
{
    std::string hashes;
    for (const PartHash part : verdict.alternatives)
        hashes += (hashes.empty() ? "" : ",") + std::to_string(part);
    return hashes;
}

} // namespace monsoonsail
