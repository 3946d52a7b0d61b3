#include "tests/support/child_process.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <sys/mman.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstddef>
#include <span>

using namespace monsoonsail;

namespace {

constexpr std::size_t pageCount = 1024;
#ifdef __SANITIZE_THREAD__
/// ThreadSanitizer replaces vfork() by fork().
constexpr bool isMemoryCopied = true;
#else
constexpr bool isMemoryCopied = false;
#endif

/// Private memory of pageCount pages, which have all been written to.
class WrittenPages
{
public:
    WrittenPages()
        : m_pageBytes(static_cast<std::size_t>(::sysconf(_SC_PAGESIZE)))
        , m_bytes(::mmap(nullptr, pageCount * m_pageBytes, PROT_READ | PROT_WRITE,
                         MAP_PRIVATE | MAP_ANONYMOUS, -1, 0))
    {
        CPPUNIT_ASSERT(m_bytes != MAP_FAILED);
        // A huge page would be a single fault.
        ::madvise(m_bytes, pageCount * m_pageBytes, MADV_NOHUGEPAGE);
        write();
    }
    ~WrittenPages() { ::munmap(m_bytes, pageCount * m_pageBytes); }
    WrittenPages(const WrittenPages &) = delete;
    WrittenPages &operator=(const WrittenPages &) = delete;

    void write() const
    {
        const std::span bytes(static_cast<volatile char *>(m_bytes), pageCount * m_pageBytes);
        for (std::size_t page = 0; page < pageCount; ++page)
            bytes[page * m_pageBytes] = 1;
    }

private:
    const std::size_t m_pageBytes;
    void *const m_bytes;
};

long pageFaults()
{
    rusage usage{};
    ::getrusage(RUSAGE_THREAD, &usage);
    return usage.ru_minflt;
}

int exitStatusOf(pid_t processId)
{
    int status = 0;
    CPPUNIT_ASSERT_EQUAL(processId, ::waitpid(processId, &status, 0));
    return WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
}

} // namespace

class ChildProcessTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ChildProcessTest);
    CPPUNIT_TEST(startDoesNotCopyTheMemoryOfTheTest);
    CPPUNIT_TEST(programRunsWithItsLimit);
    CPPUNIT_TEST_SUITE_END();

public:
    // Callers and stand-ins stood still while a daemon was started, and its answers counted as
    // late. Copied pages show as faults of their next writer.
    void startDoesNotCopyTheMemoryOfTheTest()
    {
        if (isMemoryCopied)
            return;
        const WrittenPages pages;
        const pid_t processId = startChildProcess({.path = "/bin/true"});
        const long faultsBefore = pageFaults();
        pages.write();
        const long faults = pageFaults() - faultsBefore;
        CPPUNIT_ASSERT_EQUAL(0, exitStatusOf(processId));
        CPPUNIT_ASSERT_LESS(static_cast<long>(pageCount / 10), faults);
    }

    void programRunsWithItsLimit()
    {
        const pid_t processId =
                startChildProcess({.path = "/bin/sh",
                                   .arguments = {"-c", "test \"$(ulimit -n)\" = 64 && exit 5"},
                                   .maxDescriptors = 64});
        CPPUNIT_ASSERT_EQUAL(5, exitStatusOf(processId));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ChildProcessTest);
