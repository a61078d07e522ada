"""Tests of reading the audit trail."""

import unittest

from verbenathread.control.audit import AuditTrail
from verbenathread.schema import control_pb2


class AuditTrailTest(unittest.TestCase):
    def test_reads_after_an_index_or_the_newest(self):
        trail = AuditTrail()
        for index in range(1, 8):
            path = '/desk' if index % 2 else '/beds'
            trail.add(control_pb2.AuditRecord(index=index, subject=path))
        cases = (
            (0, 3, '', [5, 6, 7]),
            (2, 3, '', [3, 4, 5]),
            (0, 2, '/desk', [5, 7]),
            (7, 3, '', []),
        )
        for after, limit, path, expected in cases:
            with self.subTest(after=after, limit=limit, path=path):
                found = trail.after(after, limit, path)
                self.assertEqual([record.index for record in found], expected)
