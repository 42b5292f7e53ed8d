#include "bounds.h"

#include <stdint.h>

/* What a header says of the object behind it. */
typedef struct header {
	size_t size;	   /* of the header with its numbers */
	uint64_t bytes;	   /* of plain data behind it */
	uint64_t elements; /* objects inside it, behind the header */
} header_t;

/* Big-endian, as MessagePack has it. */
static uint64_t read_number(const uint8_t *at, size_t size)
{
	uint64_t number = 0;

	for (size_t i = 0; i < size; i++)
		number = number << 8 | at[i];
	return number;
}

typedef enum { NOTHING, BYTES, ARRAY, MAP } content_t;

/* MessagePack's formats whose first byte is 0xc0 to 0xdf, by its lower five bits. */
static const struct {
	uint8_t numbers; /* bytes of the length, or of the plain value */
	uint8_t extra;	 /* bytes behind the length, or the type of an extension */
	content_t content;
} formats[] = {
	[0x00] = {0, 0, NOTHING},			    /* nil */
	[0x02] = {0, 0, NOTHING}, [0x03] = {0, 0, NOTHING}, /* false, true */
	[0x04] = {1, 0, BYTES},	  [0x05] = {2, 0, BYTES},   [0x06] = {4, 0, BYTES},
	[0x07] = {1, 1, BYTES},	  [0x08] = {2, 1, BYTES},   [0x09] = {4, 1, BYTES}, /* extension */
	[0x0a] = {4, 0, NOTHING}, [0x0b] = {8, 0, NOTHING}, /* floating point */
	[0x0c] = {1, 0, NOTHING}, [0x0d] = {2, 0, NOTHING}, [0x0e] = {4, 0, NOTHING},
	[0x0f] = {8, 0, NOTHING}, /* unsigned */
	[0x10] = {1, 0, NOTHING}, [0x11] = {2, 0, NOTHING}, [0x12] = {4, 0, NOTHING},
	[0x13] = {8, 0, NOTHING},			    /* signed */
	[0x14] = {2, 0, NOTHING}, [0x15] = {3, 0, NOTHING}, /* extensions of fixed length */
	[0x16] = {5, 0, NOTHING}, [0x17] = {9, 0, NOTHING}, [0x18] = {17, 0, NOTHING},
	[0x19] = {1, 0, BYTES},	  [0x1a] = {2, 0, BYTES},   [0x1b] = {4, 0, BYTES}, /* text */
	[0x1c] = {2, 0, ARRAY},	  [0x1d] = {4, 0, ARRAY},   [0x1e] = {2, 0, MAP},
	[0x1f] = {4, 0, MAP},
};

/* False if the header itself is not whole. */
static bool read_long(const uint8_t *at, size_t len, header_t *header)
{
	uint8_t index = (uint8_t)(at[0] - 0xc0);
	uint64_t number;

	*header = (header_t){.size = 1 + formats[index].numbers + formats[index].extra};
	if (header->size > len)
		return false;
	if (formats[index].content == NOTHING)
		return true;
	number = read_number(at + 1, formats[index].numbers);
	if (formats[index].content == BYTES)
		header->bytes = number;
	else
		header->elements = formats[index].content == MAP ? 2 * number : number;
	return true;
}

static bool read_header(const uint8_t *at, size_t len, header_t *header)
{
	if (at[0] >= 0xc0 && at[0] <= 0xdf)
		return read_long(at, len, header);
	*header = (header_t){.size = 1};
	if (at[0] >= 0xa0 && at[0] <= 0xbf)
		header->bytes = at[0] & 0x1f;
	else if (at[0] >= 0x90 && at[0] <= 0x9f)
		header->elements = at[0] & 0x0f;
	else if (at[0] >= 0x80 && at[0] <= 0x8f)
		header->elements = 2 * (uint64_t)(at[0] & 0x0f);
	return true;
}

bool bounds_are_valid(const void *data, size_t len)
{
	const uint8_t *at = data;
	uint64_t missing = 1; /* objects still to come, of a byte or more each */

	while (missing > 0) {
		header_t header;

		if (missing > len || !read_header(at, len, &header))
			return false;
		len -= header.size;
		at += header.size;
		if (header.bytes > len)
			return false;
		len -= header.bytes;
		at += header.bytes;
		missing += header.elements;
		missing--;
	}
	return true;
}
