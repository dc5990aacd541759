#include <CppUTest/TestHarness.h>
#include <LibCapacity/MarkdownTable.h>
#include <LibCapacity/MarkedBlock.h>

using namespace Bergamot;

TEST_GROUP(MarkdownTable) {};

// Guards against misaligned rows because of bars or line breaks in a cell, or because of rows of the wrong length.
TEST(MarkdownTable, RowsHaveTheCellsOfTheHeader)
{
    MarkdownTable table({ "a", "b" });
    table.addRow({ "x|y", "1\n2" });
    table.addRow({ "z" });
    table.addRow({ "1", "2", "3" });
    STRCMP_EQUAL("| a | b |\n| --- | --- |\n| x\\|y | 1 2 |\n| z |  |\n| 1 | 2 |\n", table.text().c_str());
}

// Guards against numbers with more or fewer than three significant digits.
TEST(MarkdownTable, NumbersHaveThreeSignificantDigits)
{
    STRCMP_EQUAL("0", formatSignificantDigits(0).c_str());
    STRCMP_EQUAL("0.0123", formatSignificantDigits(0.012345).c_str());
    STRCMP_EQUAL("1.23", formatSignificantDigits(1.2345).c_str());
    STRCMP_EQUAL("123", formatSignificantDigits(123.45).c_str());
    STRCMP_EQUAL("12300", formatSignificantDigits(12345).c_str());
    STRCMP_EQUAL("-4.70", formatSignificantDigits(-4.7).c_str());
}

// Guards against the loss of text outside the markers, and against a second run that appends to the block instead of
// replacing it.
TEST(MarkdownTable, OnlyTheBlockIsReplaced)
{
    auto page = replaceMarkedBlock("a\n<!-- begin t -->\nold\n<!-- end t -->\nb\n", "t", "new\n");
    CHECK(page.ok());
    STRCMP_EQUAL("a\n<!-- begin t -->\nnew\n<!-- end t -->\nb\n", page->c_str());
    CHECK(*replaceMarkedBlock(*page, "t", "new\n") == *page);
}

// Guards against truncated or duplicated page text when a marker is missing, repeated or out of order.
TEST(MarkdownTable, InvalidMarkersAreRejected)
{
    CHECK_FALSE(replaceMarkedBlock("text", "t", "x").ok());
    CHECK_FALSE(replaceMarkedBlock("<!-- begin t -->\n", "t", "x").ok());
    CHECK_FALSE(replaceMarkedBlock("<!-- end t -->\n<!-- begin t -->\n", "t", "x").ok());
    CHECK_FALSE(replaceMarkedBlock("<!-- begin t -->\n<!-- begin t -->\n<!-- end t -->\n", "t", "x").ok());
}
