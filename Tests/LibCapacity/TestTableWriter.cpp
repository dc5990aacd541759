#include <CppUTest/TestHarness.h>
#include <LibCapacity/MarkdownTable.h>
#include <LibCapacity/MarkedBlock.h>

using namespace Bergamot;

TEST_GROUP(TableWriter) {};

// Guards against cells that shift a row: bars and line breaks in a cell, and rows of the wrong length.
TEST(TableWriter, RowsHaveTheCellsOfTheHeader)
{
    MarkdownTable table({ "a", "b" });
    table.addRow({ "x|y", "1\n2" });
    table.addRow({ "z" });
    table.addRow({ "1", "2", "3" });
    STRCMP_EQUAL("| a | b |\n| --- | --- |\n| x\\|y | 1 2 |\n| z |  |\n| 1 | 2 |\n", table.text().c_str());
}

// Guards against figures with a false precision and against lost digits.
TEST(TableWriter, FiguresHaveThreeDigits)
{
    STRCMP_EQUAL("0", formatFigure(0).c_str());
    STRCMP_EQUAL("0.0123", formatFigure(0.012345).c_str());
    STRCMP_EQUAL("1.23", formatFigure(1.2345).c_str());
    STRCMP_EQUAL("123", formatFigure(123.45).c_str());
    STRCMP_EQUAL("12300", formatFigure(12345).c_str());
    STRCMP_EQUAL("-4.70", formatFigure(-4.7).c_str());
}

// Guards against text outside the markers being lost, and against a second run that adds instead of replacing.
TEST(TableWriter, OnlyTheBlockIsReplaced)
{
    auto page = replaceMarkedBlock("a\n<!-- begin t -->\nold\n<!-- end t -->\nb\n", "t", "new\n");
    CHECK(page.ok());
    STRCMP_EQUAL("a\n<!-- begin t -->\nnew\n<!-- end t -->\nb\n", page->c_str());
    CHECK(*replaceMarkedBlock(*page, "t", "new\n") == *page);
}

// Guards against a page that is cut off or written twice when its markers are damaged.
TEST(TableWriter, DamagedMarkersAreRefused)
{
    CHECK_FALSE(replaceMarkedBlock("text", "t", "x").ok());
    CHECK_FALSE(replaceMarkedBlock("<!-- begin t -->\n", "t", "x").ok());
    CHECK_FALSE(replaceMarkedBlock("<!-- end t -->\n<!-- begin t -->\n", "t", "x").ok());
    CHECK_FALSE(replaceMarkedBlock("<!-- begin t -->\n<!-- begin t -->\n<!-- end t -->\n", "t", "x").ok());
}
