#pragma once

#include <LibCore/Resources.h>
#include <algorithm>
#include <cstdint>
#include <iterator>
#include <msgpack.hpp>

namespace msgpack {
MSGPACK_API_VERSION_NAMESPACE(MSGPACK_DEFAULT_API_NS)
{
    namespace adaptor {

        /// Encodes Resources as an array of three integers. As with records, missing trailing integers decode as zero
        /// and additional ones are ignored.
        template <> struct convert<Bergamot::Resources> {
            const msgpack::object& operator()(const msgpack::object& o, Bergamot::Resources& v) const
            {
                if (o.type != msgpack::type::ARRAY)
                    throw msgpack::type_error();
                v = {};
                int64_t* const fields[] = { &v.cpuMillis, &v.memoryMb, &v.accelerators };
                for (uint32_t i = 0; i < std::min<uint32_t>(o.via.array.size, std::size(fields)); ++i)
                    o.via.array.ptr[i].convert(*fields[i]);
                return o;
            }
        };

        template <> struct pack<Bergamot::Resources> {
            template <typename Stream>
            packer<Stream>& operator()(msgpack::packer<Stream>& o, const Bergamot::Resources& v) const
            {
                o.pack_array(3);
                o.pack(v.cpuMillis);
                o.pack(v.memoryMb);
                o.pack(v.accelerators);
                return o;
            }
        };

    }
}
}
