#pragma once

#include <cstdint>

namespace Bergamot {

class AdminClient;
class AdminSession;
class Arguments;
class Output;
class ProgressReporter;
class Publisher;
class TextTable;
struct AdminFailure;
struct AdminReply;
struct AdminRequest;
struct AdminClientOptions;
struct CommandContext;
struct Environment;
enum class ExitStatus : uint8_t;

}
