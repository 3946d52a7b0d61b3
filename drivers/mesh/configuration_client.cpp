#include "drivers/mesh/configuration_client.h"

#include <utility>

namespace monsoonsail {

namespace {
constexpr std::size_t maxConfigurationBytes = 1024UL * 1024;
constexpr int statusOk = 200;
} // namespace

void ConfigurationClient::fetch(const std::string &address, Instant deadline, FetchDone done)
{
    const auto handleResult = [done = std::move(done)](const HttpResult &result) {
        if (result.kind != HttpResult::Kind::Answered)
            done(std::make_error_code(std::errc::host_unreachable), {});
        else if (result.status != statusOk)
            done(std::make_error_code(std::errc::no_message_available), {});
        else
            done({}, result.body);
    };
    // Peers are asked rarely, so a kept connection may be dead.
    m_http.start({.method = "GET",
                  .url = "http://" + address + std::string(path),
                  .freshConnection = true,
                  .sendDeadline = deadline,
                  .deadline = deadline,
                  .maxResponseBytes = maxConfigurationBytes,
                  .onDone = handleResult});
}

} // namespace monsoonsail
