#include "drivers/traffic/event_splitter.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

using namespace monsoonsail;

/// Checks that only complete events are returned, wherever the stream is split.
class EventSplitterTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(EventSplitterTest);
    CPPUNIT_TEST(eventsAreWholeForEverySplit);
    CPPUNIT_TEST(incompleteEventIsReported);
    CPPUNIT_TEST(idsAreParsed);
    CPPUNIT_TEST(otherFieldsAndForeignIdsAreNoId);
    CPPUNIT_TEST(onlyLinesThatBeginAResponseAreStatusLines);
    CPPUNIT_TEST_SUITE_END();

public:
    void eventsAreWholeForEverySplit()
    {
        const std::string stream = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\ndata: c\n\n";
        for (std::size_t splitAt = 0; splitAt <= stream.size(); ++splitAt) {
            EventSplitter splitter;
            std::string output;
            std::vector<EventId> ids;
            for (const std::string &piece : {stream.substr(0, splitAt), stream.substr(splitAt)}) {
                splitter.add(piece);
                while (const auto event = splitter.next()) {
                    output.append(*event);
                    ids.push_back(*splitter.id());
                }
            }
            CPPUNIT_ASSERT_EQUAL(stream, output);
            CPPUNIT_ASSERT(ids == (std::vector<EventId>{1, 2, 3}));
            CPPUNIT_ASSERT(!splitter.hasRemainder());
        }
    }

    void incompleteEventIsReported()
    {
        EventSplitter splitter;
        splitter.add("id: 1\ndata: a\n\nid: 2\nda");
        CPPUNIT_ASSERT(splitter.next());
        CPPUNIT_ASSERT(!splitter.next());
        CPPUNIT_ASSERT(splitter.hasRemainder());
    }

    void otherFieldsAndForeignIdsAreNoId()
    {
        for (const std::string event : {": id: 7\n\n", "id:\n\n", "id\n\n", "id: 12a\ndata: x\n\n",
                                        "id: a\n\n", "idx: 7\n\n", "data: id: 7\n\n"}) {
            EventSplitter splitter;
            splitter.add(event);
            CPPUNIT_ASSERT(splitter.next());
            CPPUNIT_ASSERT_MESSAGE(event, !splitter.id());
        }
        EventSplitter splitter;
        splitter.add("id: 7\r\ndata: x\r\n\r\n");
        CPPUNIT_ASSERT(splitter.next());
        CPPUNIT_ASSERT_EQUAL(EventId{7}, *splitter.id());
    }

    void idsAreParsed()
    {
        EventSplitter splitter;
        splitter.add("event: x\nid:42\ndata: id: 7\n\ndata: none\n\n");
        splitter.next();
        CPPUNIT_ASSERT_EQUAL(EventId{42}, *splitter.id());
        splitter.next();
        CPPUNIT_ASSERT(!splitter.id());
    }

    // The platform's own field may be the first line of an event.
    void onlyLinesThatBeginAResponseAreStatusLines()
    {
        for (const std::string event :
             {"data: HTTP/1.1 500 Bad\n\n", "x-weight-versions: 2\nid: 1\ndata: a\n\n",
              ": HTTP/1.1 500 Bad\n\n", "data: a\r\ndata:HTTP/1.1 200 OK\r\n\r\n", "HTTP\n\n"}) {
            EventSplitter splitter;
            splitter.add(event);
            CPPUNIT_ASSERT(splitter.next());
            CPPUNIT_ASSERT_MESSAGE(event, !splitter.hasStatusLine());
        }
        for (const std::string event :
             {"HTTP/1.1 500 Bad\r\nContent-Length: 0\r\n\r\n", "id: 1\nHTTP/1.0 500 Bad\n\n"}) {
            EventSplitter splitter;
            splitter.add(event);
            CPPUNIT_ASSERT(splitter.next());
            CPPUNIT_ASSERT_MESSAGE(event, splitter.hasStatusLine());
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EventSplitterTest);
