#pragma once

namespace Bergamot {

/// Base of everything that can be registered with a Kernel.
class Service {
public:
    virtual ~Service() = default;
};

}
