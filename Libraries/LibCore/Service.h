#pragma once

namespace Bergamot {

/// Base class of objects that can be registered with a Kernel.
class Service {
public:
    virtual ~Service() = default;
};

}
