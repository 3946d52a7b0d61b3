#include "core/store_error.h"

#include <string>

namespace monsoonsail {

namespace {

class StoreCategory : public std::error_category
{
public:
    const char *name() const noexcept override { return "store"; }

    std::string message(int value) const override
    {
        switch (static_cast<StoreError>(value)) {
        case StoreError::None:
            return "no error";
        case StoreError::Unreachable:
            return "no answer";
        case StoreError::Busy:
            return "temporarily refused";
        case StoreError::Conflict:
            return "condition not met";
        case StoreError::Expired:
            return "requested records are no longer kept";
        case StoreError::Malformed:
            return "answer could not be parsed";
        case StoreError::Rejected:
            return "refused";
        case StoreError::Restored:
            return "the store went back to an earlier state";
        }
        return "unknown error";
    }
};

} // namespace

const std::error_category &storeCategory()
{
    static const StoreCategory category;
    return category;
}

std::error_code make_error_code(StoreError error) // NOLINT(readability-identifier-naming)
{
    return {static_cast<int>(error), storeCategory()};
}

} // namespace monsoonsail
