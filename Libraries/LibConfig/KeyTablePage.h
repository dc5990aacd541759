#pragma once

#include <LibConfig/Schema.h>
#include <string>

namespace Bergamot {

/// The key tables of a schema in Markdown, as they stand in docs/configuration.md.
std::string keyTablePage(const Schema& schema);

}
