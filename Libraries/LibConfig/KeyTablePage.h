#pragma once

#include <LibConfig/Schema.h>
#include <string>

namespace Bergamot {

/// Formats the key tables of a schema as Markdown, as docs/configuration.md contains them.
std::string keyTablePage(const Schema& schema);

}
