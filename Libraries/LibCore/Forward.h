#pragma once

namespace Bergamot {

class Clock;
class Kernel;
class Logger;
class Mailbox;
class Service;
class SteadyClock;
struct Resources;

}
