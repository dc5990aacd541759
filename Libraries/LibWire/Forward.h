#pragma once

namespace Bergamot {

struct RecordBatch;

}
