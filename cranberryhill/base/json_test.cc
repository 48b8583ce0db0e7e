#include "cranberryhill/base/json.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

namespace cranberryhill {
namespace {

// Guards against errors that do not say which field broke which rule.
BOOST_AUTO_TEST_CASE(ErrorNamesFieldValueAndRule) {
  Json json = {{"port", 70000}};
  ObjectReader reader(json, "settings");
  auto port = Capture([&] { return reader.Int("port", {1, 65535}); });
  BOOST_REQUIRE(!port.ok());
  BOOST_TEST(port.error().field == "settings.port");
  BOOST_TEST(port.error().value == "70000");
  BOOST_TEST(port.error().rule == "must be an integer from 1 to 65535");
}

// Guards against unsigned values above INT64_MAX wrapping to negative ones.
BOOST_AUTO_TEST_CASE(HugeUnsignedIsRefused) {
  Json json = {{"n", UINT64_MAX}};
  ObjectReader reader(json, "");
  BOOST_TEST(!Capture([&] { return reader.Int("n", {}); }).ok());
}

// Guards against misspelled settings that are silently ignored.
BOOST_AUTO_TEST_CASE(UnknownFieldIsRefused) {
  Json json = {{"port", 1}, {"prot", 2}};
  ObjectReader reader(json, "settings");
  auto checked = Capture([&]() -> Result<bool> {
    BOOST_LEAF_CHECK(reader.Int("port", {}));
    BOOST_LEAF_CHECK(reader.RefuseUnknownFields());
    return true;
  });
  BOOST_REQUIRE(!checked.ok());
  BOOST_TEST(checked.error().field == "settings.prot");
}

// Guards against a parser that rejects the comments that settings may have.
BOOST_AUTO_TEST_CASE(CommentsAreAllowed) {
  auto json = Capture([] { return ParseJson("{/* a */ \"b\": 1}", "x"); });
  BOOST_REQUIRE(json.ok());
  BOOST_TEST(json.value()["b"] == 1);
}

// Guards against an exception that ends the process for a caller's number.
BOOST_AUTO_TEST_CASE(NumberOutOfRangeIsRefused) {
  auto json = Capture([] { return ParseJson("{\"a\": 1e400}", "body"); });
  BOOST_REQUIRE(!json.ok());
  BOOST_TEST(json.error().field == "body");
}

// Guards against a body of nested arrays that overflows the stack, and against
// a depth limit that counts brackets in strings and comments.
BOOST_AUTO_TEST_CASE(DeepNestingIsRefused) {
  auto parses = [](const std::string& text) {
    return Capture([&] { return ParseJson(text, "body"); }).ok();
  };
  auto nested = [](size_t depth) {
    return std::string(depth, '[') + std::string(depth, ']');
  };
  BOOST_TEST(parses(nested(kMaxJsonDepth)));
  BOOST_TEST(!parses(nested(kMaxJsonDepth + 1)));
  BOOST_TEST(!parses(R"({"model":)" + nested(500'000) + "}"));
  BOOST_TEST(!parses(R"(["\"", /*"*/ "/*", //")"
                     "\n" +
                     nested(100) + "]"));
  std::string brackets(100, '[');
  BOOST_TEST(parses("[\"\\\"" + brackets + "\", \"\\\\\"] //" + brackets));
  BOOST_TEST(parses("/*" + brackets + "*/ [1]"));
}

// Guards against an element that cannot be parsed and hides the others, and
// against elements that are split at a comma of a string or a comment.
BOOST_AUTO_TEST_CASE(ElementsAreFoundWithoutParsingThem) {
  std::string deep = std::string(500'000, '[') + std::string(500'000, ']');
  std::string text = R"({"list": "list", /* [ , */ "other": {"list": [7]},
      "list" : [ {"a": [1, 2]}, "x,]\"", 1e999, )" +
                     deep + R"( ], "revision": 3})";
  auto elements = SplitArray(text, "list");
  BOOST_REQUIRE(elements.size() == 4U);
  auto parses = [](std::string_view element) {
    return Capture([&] { return ParseJson(element, "element"); }).ok();
  };
  BOOST_TEST(parses(elements[0]));
  BOOST_TEST(parses(elements[1]));
  BOOST_TEST(!parses(elements[2]));
  BOOST_TEST(!parses(elements[3]));
  auto rest =
      Capture([&] { return ParseJson(WithoutElements(text, "list"), "rest"); });
  BOOST_REQUIRE(rest.ok());
  BOOST_TEST(rest.value()["revision"] == 3);
}

// Guards against reads beyond the end of a text that is cut, and against
// elements that are not in the list.
BOOST_AUTO_TEST_CASE(TextThatIsNoListHasNoElements) {
  for (const char* text :
       {"", "[1]", "{}", "{\"list\"", "{\"list\":", "{\"list\":7}",
        "{\"list\":[]}", "{\"list\":[ ]}", "{\"lis\":[1]}", "\"list\":[1]"})
    BOOST_TEST(SplitArray(text, "list").empty());
  std::string text = R"({"a": [1, {"b": "\\"}], "list": [1, "2", [3]]})";
  for (size_t length = 0; length < text.size(); ++length) {
    SplitArray(text.substr(0, length), "list");
    WithoutElements(text.substr(0, length), "list");
  }
}

// Guards against a refusal as long as the field name that a caller chose.
BOOST_AUTO_TEST_CASE(UnknownFieldNameIsCut) {
  Json json = {{std::string(1000, 'x'), 1}};
  ObjectReader reader(json, "");
  auto checked = Capture([&]() -> Result<bool> {
    BOOST_LEAF_CHECK(reader.RefuseUnknownFields());
    return true;
  });
  BOOST_REQUIRE(!checked.ok());
  BOOST_TEST(checked.error().field == std::string(80, 'x') + "...");
}

}  // namespace
}  // namespace cranberryhill
