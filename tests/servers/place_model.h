#pragma once

#include "core/random_source.h"
#include "servers/admission/admission_control.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <vector>

namespace monsoonsail {

/// Requests of one kind that an account sends at random times.
struct PlaceStream
{
    AccountId account;
    unsigned urgency = 0;
    double perSecond = 0;
    double seconds = 0; ///< Mean time in a batch slot. Times differ by a factor of four.
    Duration goal{};
    Duration deadline{};
};

/// What callers of a stream got.
struct PlaceResult
{
    unsigned calls = 0;    ///< Without further tries.
    unsigned tries = 0;    ///< Requests, including further tries after refusals.
    unsigned refused = 0;  ///< Tries that were refused.
    unsigned needless = 0; ///< Refused although a part of all slots was free.
    unsigned inVain = 0;   ///< Admitted, and not answered by their deadline.
    unsigned answered = 0;
    unsigned onTime = 0;        ///< Of those, with the first event within the goal.
    double answeredSeconds = 0; ///< Time in batch slots of answered requests.
    Duration longestWait{};     ///< Until a first event.
};

/// Simulates engines with queues, and instances that choose engines by figures of some age. Callers
/// that are refused try again as told, twice. Engines drop what is past its deadline.
class PlaceModel
{
public:
    struct Size
    {
        std::size_t instances = 0;
        std::size_t engines = 0;
        Duration digestInterval{};

        /// Batch slots: seconds of work that the engines complete in a second.
        double capacity() const { return static_cast<double>(engines * slotsPerEngine); }
    };
    static constexpr unsigned slotsPerEngine = 8;

    /// Without `sharesPlaces`, everything is admitted.
    PlaceModel(const Size &size, bool sharesPlaces, std::uint64_t seed);

    /// Plays the streams and returns their results, in the same order.
    std::vector<PlaceResult> run(Duration duration, std::span<const PlaceStream> streams);

    /// From now on, no digest arrives, and what they reported is forgotten.
    void cutDigests();

private:
    struct Job
    {
        AttemptNumber number = 0;
        std::size_t stream = 0;
        std::size_t instance = 0;
        unsigned urgency = 0;
        double seconds = 0;
        Instant sentAt;
        Instant goalAt;
        Instant deadline;
        Instant startedAt;
        bool hasEvents = false;
    };
    struct Engine
    {
        std::vector<Job> running;
        std::multimap<unsigned, Job> queue; ///< By urgency.
    };
    struct Instance
    {
        std::unique_ptr<AdmissionControl> admission;
        std::vector<double> own;                       ///< Requests at each engine.
        std::vector<double> reported;                  ///< The same as of its last digest.
        std::map<AccountId, double> requested;         ///< Cost since the start.
        std::map<AccountId, double> reportedRequested; ///< The same as of its last digest.
        Instant nextDigest;
    };
    struct Retry
    {
        std::size_t stream = 0;
        unsigned tries = 0;
    };

    bool hasRoom() const;
    void sendDigests();
    void send(std::size_t stream, unsigned tries);
    std::pair<std::size_t, double> chooseEngine(const Instance &instance);
    double requestsAt(const Instance &instance, std::size_t engine) const;
    void work();
    void finish(std::size_t engine, const Job &job, bool wasAnswered);
    std::vector<AccountRate> rates();

    RandomSource m_random;
    Size m_size;
    bool m_sharesPlaces;
    bool m_isCut = false;
    Instant m_now = instantFromMicroseconds(1'000'000'000);
    std::vector<Instance> m_instances;
    std::vector<Engine> m_engines;
    std::vector<double> m_reported; ///< Requests at each engine, as reported by all instances.
    std::map<AccountId, DecayingSum> m_demand; ///< As reported by all instances.
    std::multimap<Instant, Retry> m_retries;
    std::span<const PlaceStream> m_streams;
    std::vector<PlaceResult> m_results;
    AttemptNumber m_lastNumber = 0;
};

} // namespace monsoonsail
