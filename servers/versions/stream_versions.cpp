#include "servers/versions/stream_versions.h"

namespace monsoonsail {

std::string_view originGroundName(OriginGround ground)
{
    switch (ground) {
    case OriginGround::Own:
        return "own";
    case OriginGround::OnlyVersion:
        return "only-version";
    case OriginGround::BeginRecord:
        return "begin-record";
    case OriginGround::NoRecord:
        return "no-record";
    case OriginGround::StoreUnreachable:
        return "store-unreachable";
    }
    return "unknown";
}

} // namespace monsoonsail
