#pragma once

#include <LibCore/Resources.h>
#include <msgpack.hpp>

namespace msgpack {
MSGPACK_API_VERSION_NAMESPACE(MSGPACK_DEFAULT_API_NS)
{
    namespace adaptor {

        /// Resources travel as an array of three integers.
        template <> struct convert<Bergamot::Resources> {
            const msgpack::object& operator()(const msgpack::object& o, Bergamot::Resources& v) const
            {
                if (o.type != msgpack::type::ARRAY || o.via.array.size < 3)
                    throw msgpack::type_error();
                o.via.array.ptr[0].convert(v.cpuMillis);
                o.via.array.ptr[1].convert(v.memoryMb);
                o.via.array.ptr[2].convert(v.accelerators);
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
