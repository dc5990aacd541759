#pragma once

namespace Bergamot {

struct LinearFit;
struct Measurement;
struct SizedValue;
class MarkdownTable;

}
