#include "drivers/net/socket.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <sys/socket.h>

#include <arpa/inet.h>
#include <netinet/in.h>

#include <string>

using namespace monsoonsail;

/// Guards the count of datagrams that a process has lost because it did not read them in time.
class SocketTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(SocketTest);
    CPPUNIT_TEST(droppedDatagramsAreCounted);
    CPPUNIT_TEST_SUITE_END();

public:
    void droppedDatagramsAreCounted()
    {
        const Socket receiver = Socket::datagram("127.0.0.1:0");
        const Socket sender = Socket::datagram("127.0.0.1:0");
        sockaddr_in address{.sin_family = AF_INET,
                            .sin_port = htons(static_cast<std::uint16_t>(receiver.port()))};
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{0}, receiver.droppedDatagrams());
        const std::string bytes(2000, 'x');
        constexpr int maxDatagrams = 100'000;
        for (int sent = 0; sent < maxDatagrams && receiver.droppedDatagrams() == 0; ++sent)
            ::sendto(sender.descriptor(), bytes.data(), bytes.size(), 0,
                     reinterpret_cast<const sockaddr *>(&address), sizeof address);
        CPPUNIT_ASSERT(receiver.droppedDatagrams() > 0);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SocketTest);
