#pragma once

namespace Bergamot {

class Authority;
class Leadership;

}
