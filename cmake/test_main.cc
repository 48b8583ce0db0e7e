#define BOOST_TEST_MODULE cranberryhill
#include <boost/test/unit_test.hpp>
